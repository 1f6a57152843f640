package org.banyanstair.teams;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.banyanstair.errors.Failure;
import org.banyanstair.errors.FailureException;

/** The teams of one version of the configuration; immutable. */
public final class TeamTable {
    /** A deployment without teams, where requests need no key. */
    public static final TeamTable NONE = new TeamTable(List.of());

    private final Map<TeamName, Team> byName = new TreeMap<>();
    private final Map<KeyDigest, Team> byKey = new HashMap<>();

    /**
     * Creates a table.
     *
     * @throws FailureException if two teams have the same name or key
     */
    public TeamTable(List<Team> teams) {
        for (Team team : teams) {
            if (byName.put(team.name(), team) != null) {
                throw new FailureException(new Failure.InvalidField("teams.name", "different for each team"));
            }
            for (KeyDigest key : team.keys()) {
                if (byKey.put(key, team) != null) {
                    throw new FailureException(new Failure.InvalidField(
                            "teams.api_keys of " + team.name(), "keys that no other team has"));
                }
            }
        }
    }

    /** Returns whether the deployment has no teams, so that requests need no key. */
    public boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Returns the teams, ordered by name. */
    public Collection<Team> all() {
        return byName.values();
    }

    /** Returns the team with a name; empty if there is none. */
    public Optional<Team> find(TeamName name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the team that holds a key; empty if none does. */
    public Optional<Team> findByKey(KeyDigest key) {
        return Optional.ofNullable(byKey.get(key));
    }

    /** Returns how the keys differ from those of an older version. */
    public KeyChanges changesSince(TeamTable older) {
        int added = 0;
        int moved = 0;
        for (Map.Entry<KeyDigest, Team> entry : byKey.entrySet()) {
            Team before = older.byKey.get(entry.getKey());
            if (before == null) {
                added++;
            } else if (!before.name().equals(entry.getValue().name())) {
                moved++;
            }
        }
        int kept = byKey.size() - added;
        return new KeyChanges(added, older.byKey.size() - kept, moved);
    }
}
