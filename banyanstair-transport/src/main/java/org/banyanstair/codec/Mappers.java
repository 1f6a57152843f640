package org.banyanstair.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Creates the object mappers that all modules share. The mappers are safe for use by several threads. */
public final class Mappers {
    /** JSON with instants in RFC 3339 form; unknown properties are refused. */
    public static final ObjectMapper JSON = configure(new ObjectMapper());

    /** MessagePack, used between hosts and for log records; unknown properties are ignored for rolling upgrades. */
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
