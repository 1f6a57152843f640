package org.banyanstair.teams;

/**
 * How the keys of two versions of the configuration differ.
 *
 * @param added number of keys that only the newer version has
 * @param removed number of keys that only the older version has
 * @param moved number of keys that belong to another team in the newer version
 */
public record KeyChanges(int added, int removed, int moved) {
    /** Returns whether no key was added, removed or moved. */
    public boolean isEmpty() {
        return added + removed + moved == 0;
    }
}
