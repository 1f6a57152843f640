package org.banyanstair.model;

/**
 * One version of one adapter of a service.
 *
 * @param service service that the adapter belongs to
 * @param version version label that satisfies {@link Names#check}
 */
public record AdapterVersion(ServiceId service, AdapterId adapter, String version)
        implements Comparable<AdapterVersion> {
    /** Checks the version label. */
    public AdapterVersion {
        Names.check("version", version);
    }

    /**
     * Returns the name of this adapter version at the engines.
     *
     * @return {@code service/adapter@version}
     */
    public String engineName() {
        return service + "/" + adapter + "@" + version;
    }

    /**
     * Parses the name of an adapter version at the engines.
     *
     * @param name {@code service/adapter@version}
     * @throws org.banyanstair.errors.FailureException if the name is malformed
     */
    public static AdapterVersion parse(String name) {
        ModelName model = ModelName.parse(name);
        return new AdapterVersion(
                model.service(), model.adapter(), model.version().orElse(""));
    }

    @Override
    public int compareTo(AdapterVersion other) {
        return engineName().compareTo(other.engineName());
    }

    @Override
    public String toString() {
        return engineName();
    }
}
