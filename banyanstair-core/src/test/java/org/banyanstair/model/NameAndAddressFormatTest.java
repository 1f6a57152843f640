package org.banyanstair.model;

import java.util.List;
import java.util.Random;
import java.util.regex.Pattern;

import org.banyanstair.errors.FailureException;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against hand-written format checks that accept other names or addresses than the documented formats. */
class NameAndAddressFormatTest {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");

    @Test
    void namesAreAcceptedIfTheyMatchTheFormat() {
        Random random = new Random(1);
        for (int number = 0; number < 20_000; number++) {
            String text = randomText(random, "az09._-AZ/ \u0663", random.nextInt(4) == 0 ? 70 : 5);
            assertEquals(NAME.matcher(text).matches(), isAccepted(() -> Names.check("name", text)), text);
        }
    }

    @Test
    void addressesAreAcceptedIfTheyMatchTheFormat() {
        Random random = new Random(2);
        for (int number = 0; number < 20_000; number++) {
            StringBuilder text = new StringBuilder("10.20.30.40:8080");
            for (int change = random.nextInt(3); change > 0; change--) {
                int at = random.nextInt(text.length());
                text.replace(at, at + random.nextInt(2), randomText(random, "0123.: \u0663", 2));
            }
            boolean matchesFormat = ADDRESS.matcher(text).matches();
            int port = matchesFormat ? Integer.parseInt(text.substring(text.indexOf(":") + 1)) : 0;
            assertEquals(
                    port >= 1 && port <= 65_535,
                    isAccepted(() -> NetworkAddress.parse(text.toString())),
                    text.toString());
        }
        for (String text : List.of("", ":", "1.2.3:4", "1.2.3.4", "1.2.3.4:", "1.2.3.4:5:6", "1.2.3.4:123456")) {
            assertEquals(false, isAccepted(() -> NetworkAddress.parse(text)), text);
        }
        assertEquals(new NetworkAddress("1.22.255.4", 65_535), NetworkAddress.parse("1.22.255.4:65535"));
    }

    private static String randomText(Random random, String characters, int lengthBound) {
        StringBuilder text = new StringBuilder();
        for (int length = random.nextInt(lengthBound); length > 0; length--) {
            text.append(characters.charAt(random.nextInt(characters.length())));
        }
        return text.toString();
    }

    private static boolean isAccepted(Runnable check) {
        try {
            check.run();
            return true;
        } catch (FailureException exception) {
            return false;
        }
    }
}
