package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Source position of a TOML value and of the values nested in it. */
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

    /** Returns the member; if it is unknown, returns a node with the position of this one. */
    PositionNode member(String key) {
        PositionNode member = members.get(key);
        return member == null ? new PositionNode(position) : member;
    }

    /** Returns the element; if it is unknown, returns a node with the position of this one. */
    PositionNode element(int index) {
        return index < elements.size() ? elements.get(index) : new PositionNode(position);
    }

    /**
     * Returns the table that a dotted key or a header refers to, and creates it if necessary. For an array of tables,
     * this is its last element.
     */
    PositionNode descend(String key, Position keyPosition) {
        PositionNode member = members.computeIfAbsent(key, name -> new PositionNode(keyPosition));
        return member.elements.isEmpty() ? member : member.elements.get(member.elements.size() - 1);
    }

    PositionNode addElement(Position elementPosition) {
        PositionNode element = new PositionNode(elementPosition);
        elements.add(element);
        return element;
    }

    /**
     * Marks the value as explicitly defined, not only implied by a longer path. Returns false if it was already
     * defined.
     */
    boolean markDefined() {
        boolean first = !defined;
        defined = true;
        return first;
    }

    /** Returns the member itself, not the last element of an array of tables, and creates it if necessary. */
    PositionNode memberOrNew(String key, Position keyPosition) {
        return members.computeIfAbsent(key, name -> new PositionNode(keyPosition));
    }
}
