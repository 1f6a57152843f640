package org.banyanstair.server.http.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

import com.fasterxml.jackson.core.JsonGenerator;
import org.banyanstair.codec.Mappers;
import org.banyanstair.configuration.AdapterDeclaration;
import org.banyanstair.configuration.Configuration;
import org.banyanstair.model.CallerId;
import org.banyanstair.server.http.Exchange;
import org.banyanstair.server.service.CallerService;

/** Lists the models that a caller may use. */
final class ModelsRoute {
    private final CallerService service;
    private final Executor executor;

    ModelsRoute(CallerService service, Executor executor) {
        this.service = service;
        this.executor = executor;
    }

    void list(CallerRequest request, CallerId caller) {
        Configuration configuration = service.configuration();
        executor.execute(() -> request.respond(200, Optional.of(Exchange.JSON), writeModelList(configuration, caller)));
    }

    private static byte[] writeModelList(Configuration configuration, CallerId caller) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        try (JsonGenerator generator = Mappers.JSON.createGenerator(output)) {
            generator.writeStartObject();
            generator.writeStringField("object", "list");
            generator.writeArrayFieldStart("data");
            for (AdapterDeclaration adapter : allowedAdapters(configuration, caller)) {
                writeModel(generator, adapter, "");
                for (String version : adapter.versions()) {
                    writeModel(generator, adapter, "@" + version);
                }
            }
            generator.writeEndArray();
            generator.writeEndObject();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return output.toByteArray();
    }

    private static List<AdapterDeclaration> allowedAdapters(Configuration configuration, CallerId caller) {
        return configuration.adapters().values().stream()
                .filter(adapter -> configuration
                        .service(adapter.key().service())
                        .filter(service -> service.callers().contains(caller))
                        .isPresent())
                .sorted(java.util.Comparator.comparing(AdapterDeclaration::key))
                .toList();
    }

    private static void writeModel(JsonGenerator generator, AdapterDeclaration adapter, String version)
            throws IOException {
        generator.writeStartObject();
        generator.writeStringField("id", adapter.key() + version);
        generator.writeStringField("object", "model");
        // The protocol requires the field; the configuration does not record times.
        generator.writeNumberField("created", 0);
        generator.writeStringField("owned_by", adapter.key().service().value());
        generator.writeEndObject();
    }
}
