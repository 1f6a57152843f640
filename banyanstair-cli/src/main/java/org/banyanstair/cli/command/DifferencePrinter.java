package org.banyanstair.cli.command;

import java.util.List;
import java.util.Map;

import org.banyanstair.cli.output.Console;
import org.banyanstair.cli.output.Messages;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.configuration.Operation;

/** Prints operations as additions, changes and removals relative to a configuration. */
final class DifferencePrinter {
    private record Document(long version, List<Operation> operations) {}

    private final Configuration from;

    DifferencePrinter(Configuration from) {
        this.from = from;
    }

    void print(Console console, List<Operation> operations) {
        List<String> lines = operations.isEmpty()
                ? List.of(Messages.format("diff.none", from.version()))
                : operations.stream().map(this::line).toList();
        console.printResult(new Document(from.version(), operations), lines);
    }

    private String line(Operation operation) {
        if (operation instanceof Operation.PutService put) {
            return put("service", put.service().id(), from.services());
        } else if (operation instanceof Operation.PutAdapter put) {
            return put("adapter", put.adapter().key(), from.adapters());
        } else if (operation instanceof Operation.PutPool put) {
            return put("pool", put.pool().id(), from.pools());
        } else if (operation instanceof Operation.PutPreset put) {
            return put("preset-settings", put.preset().id(), from.presets());
        } else if (operation instanceof Operation.RemoveService remove) {
            return Messages.format("diff.remove", "service", remove.id());
        } else if (operation instanceof Operation.RemoveAdapter remove) {
            return Messages.format("diff.remove", "adapter", remove.key());
        } else if (operation instanceof Operation.RemovePool remove) {
            return Messages.format("diff.remove", "pool", remove.id());
        } else if (operation instanceof Operation.RemovePreset remove) {
            return Messages.format("diff.remove", "preset-settings", remove.id());
        }
        return Messages.format("diff.use", from.presetInForce(), ((Operation.UsePreset) operation).id());
    }

    private static String put(String kind, Object id, Map<?, ?> present) {
        return Messages.format(present.containsKey(id) ? "diff.change" : "diff.add", kind, id);
    }
}
