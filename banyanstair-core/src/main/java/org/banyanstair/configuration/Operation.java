package org.banyanstair.configuration;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.banyanstair.model.PoolId;
import org.banyanstair.model.PresetId;
import org.banyanstair.model.ServiceId;

/** One operation of a configuration change. */
@JsonTypeInfo(use = JsonTypeInfo.Id.SIMPLE_NAME, property = "operation")
public sealed interface Operation {
    /** Creates or replaces a service. */
    record PutService(ServiceDeclaration service) implements Operation {}

    /** Removes a service that has no adapters. */
    record RemoveService(ServiceId id) implements Operation {}

    /** Registers or replaces an adapter. */
    record PutAdapter(AdapterDeclaration adapter) implements Operation {}

    /** Removes an adapter with all its versions. */
    record RemoveAdapter(AdapterKey key) implements Operation {}

    /** Creates or replaces the weight store share of a pool. */
    record PutPool(PoolDeclaration pool) implements Operation {}

    /** Removes the weight store share of a pool, so that the default applies. */
    record RemovePool(PoolId id) implements Operation {}

    /** Creates or replaces a preset. */
    record PutPreset(Preset preset) implements Operation {}

    /** Removes a preset that is not in force. */
    record RemovePreset(PresetId id) implements Operation {}

    /** Puts a preset in force. */
    record UsePreset(PresetId id) implements Operation {}
}
