package org.banyanstair.codec;

import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.jsontype.NamedType;

/** Registers the permitted subclasses of sealed interfaces as Jackson subtypes, which Jackson 2 does not do itself. */
final class SealedTypeIntrospector extends JacksonAnnotationIntrospector {
    private static final long serialVersionUID = 1L;

    @Override
    public List<NamedType> findSubtypes(Annotated annotated) {
        Class<?>[] permitted = annotated.getRawType().getPermittedSubclasses();
        if (permitted == null) {
            return super.findSubtypes(annotated);
        }
        return Arrays.stream(permitted).map(NamedType::new).toList();
    }
}
