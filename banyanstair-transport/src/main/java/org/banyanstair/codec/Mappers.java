package org.banyanstair.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Object mappers shared by all modules. The mappers are thread-safe. */
public final class Mappers {
    /** JSON mapper: writes instants in RFC 3339 form and rejects unknown properties. */
    public static final ObjectMapper JSON = configure(new ObjectMapper());

    /**
     * MessagePack mapper for messages between hosts and for log records. Unknown properties are ignored, so that hosts
     * of different releases can communicate during a rolling upgrade.
     */
    public static final ObjectMapper MESSAGE_PACK = configure(new ObjectMapper(new MessagePackFactory()))
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private Mappers() {}

    private static ObjectMapper configure(ObjectMapper mapper) {
        return mapper.setAnnotationIntrospector(new SealedTypeIntrospector())
                .registerModule(new Jdk8Module())
                .registerModule(new JavaTimeModule())
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
    }
}
