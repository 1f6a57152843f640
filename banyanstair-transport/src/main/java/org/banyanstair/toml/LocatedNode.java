package org.banyanstair.toml;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Position of one value, and the positions of the values inside it. */
final class LocatedNode {
    private final Position position;
    private final Map<String, LocatedNode> members = new HashMap<>();
    private final List<LocatedNode> elements = new ArrayList<>();
    private boolean defined;

    LocatedNode(Position position) {
        this.position = position;
    }

    Position position() {
        return position;
    }

    /** Returns the member, or a node at this position if the member is not known. */
    LocatedNode member(String key) {
        LocatedNode member = members.get(key);
        return member == null ? new LocatedNode(position) : member;
    }

    /** Returns the element, or a node at this position if the element is not known. */
    LocatedNode element(int index) {
        return index < elements.size() ? elements.get(index) : new LocatedNode(position);
    }

    /** Returns the table that a dotted key or a header continues: for an array of tables, its last table. */
    LocatedNode enter(String key, Position keyPosition) {
        LocatedNode member = members.computeIfAbsent(key, name -> new LocatedNode(keyPosition));
        return member.elements.isEmpty() ? member : member.elements.get(member.elements.size() - 1);
    }

    LocatedNode addElement(Position elementPosition) {
        LocatedNode element = new LocatedNode(elementPosition);
        elements.add(element);
        return element;
    }

    /** Marks the value as given by the file, not only implied by a longer path. Returns false if it was given before. */
    boolean define() {
        boolean first = !defined;
        defined = true;
        return first;
    }

    /** Opens the member itself, not the last table inside it. */
    LocatedNode open(String key, Position keyPosition) {
        return members.computeIfAbsent(key, name -> new LocatedNode(keyPosition));
    }
}
