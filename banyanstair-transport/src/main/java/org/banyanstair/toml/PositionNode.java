package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Position of one value, and the positions of the values inside it. */
final class PositionNode {
    private final Position position;
    private final Map<String, PositionNode> members = new HashMap<>();
    private final List<PositionNode> elements = new ArrayList<>();
    private boolean defined;

    PositionNode(Position position) {
        this.position = position;
    }

    Position position() {
        return position;
    }

    /** Returns the member, or a node at this position if the member is not known. */
    PositionNode member(String key) {
        PositionNode member = members.get(key);
        return member == null ? new PositionNode(position) : member;
    }

    /** Returns the element, or a node at this position if the element is not known. */
    PositionNode element(int index) {
        return index < elements.size() ? elements.get(index) : new PositionNode(position);
    }

    /** Returns the table that a dotted key or a header continues: for an array of tables, its last table. */
    PositionNode descend(String key, Position keyPosition) {
        PositionNode member = members.computeIfAbsent(key, name -> new PositionNode(keyPosition));
        return member.elements.isEmpty() ? member : member.elements.get(member.elements.size() - 1);
    }

    PositionNode addElement(Position elementPosition) {
        PositionNode element = new PositionNode(elementPosition);
        elements.add(element);
        return element;
    }

    /** Marks the value as given by the file, not only implied by a longer path. Returns false if it was given before. */
    boolean markDefined() {
        boolean first = !defined;
        defined = true;
        return first;
    }

    /** Opens the member itself, not the last table inside it. */
    PositionNode memberOrNew(String key, Position keyPosition) {
        return members.computeIfAbsent(key, name -> new PositionNode(keyPosition));
    }
}
