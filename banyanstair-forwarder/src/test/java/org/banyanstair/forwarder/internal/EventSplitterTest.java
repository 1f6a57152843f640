package org.banyanstair.forwarder.internal;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventSplitterTest {
    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    private static String text(ByteBuf bytes) {
        String result = bytes.toString(StandardCharsets.UTF_8);
        bytes.release();
        return result;
    }

    @Property(tries = 300, seed = "881")
    void eventsDoNotDependOnFragmentation(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder stream = new StringBuilder();
        List<Optional<Long>> ids = new ArrayList<>();
        for (int index = 0; index < 12; index++) {
            String end = random.nextBoolean() ? "\n" : "\r\n";
            boolean numbered = random.nextInt(4) > 0;
            stream.append(numbered ? "id: " + index + end : "weight-versions: 3" + end)
                    .append("data: ü ")
                    .append("x".repeat(random.nextInt(40)))
                    .append(end)
                    .append(end);
            ids.add(numbered ? Optional.of((long) index) : Optional.empty());
        }
        byte[] streamBytes = stream.toString().getBytes(StandardCharsets.UTF_8);
        EventSplitter splitter = new EventSplitter();
        StringBuilder output = new StringBuilder();
        List<Optional<Long>> parsedIds = new ArrayList<>();
        int from = 0;
        while (from < streamBytes.length) {
            int length = Math.min(streamBytes.length - from, 1 + random.nextInt(30));
            for (EventSplitter.StreamEvent event : splitter.feed(Unpooled.wrappedBuffer(streamBytes, from, length))) {
                parsedIds.add(event.id());
                output.append(text(event.bytes()));
            }
            from += length;
        }
        assertEquals(stream.toString(), output.toString());
        assertEquals(ids, parsedIds);
    }

    /** The bytes are scanned in place; the reference splits the text into lines. */
    @Property(tries = 500, seed = "882")
    void idAndDataAreThoseOfTheLines(@ForAll long seed) {
        List<String> lines = List.of(
                "id:",
                "id: 5",
                "id:\t7 ",
                "id: 123456789012345678",
                "id: 1234567890123456789",
                "id: 1x",
                "id: -3",
                "id: \u0665",
                " id: 9",
                "ident: 4",
                "data",
                "data:",
                "data: ü",
                "dataset: 1",
                ": data: 2",
                "i",
                "d");
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        for (int count = 1 + random.nextInt(4); count > 0; count--) {
            text.append(lines.get(random.nextInt(lines.size()))).append(random.nextBoolean() ? "\n" : "\r\n");
        }
        EventSplitter.StreamEvent event =
                new EventSplitter().feed(bytes(text + "\n")).get(0);
        Optional<Long> id = text.toString()
                .lines()
                .filter(line -> line.startsWith("id:"))
                .map(line -> line.substring(3).trim())
                .filter(value -> value.matches("\\d{1,18}"))
                .map(Long::valueOf)
                .findFirst();
        assertEquals(id, event.id());
        assertEquals(
                text.toString().lines().anyMatch(line -> line.equals("data") || line.startsWith("data:")),
                event.hasData());
        event.bytes().release();
    }

    @Test
    void partialEventIsHeldBack() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(0, splitter.feed(bytes("id: 1\ndata: a\n")).size());
        assertTrue(splitter.hasPartialEvent());
        assertEquals("id: 1\ndata: a\n", text(splitter.takeRemainder()));
    }

    @Test
    void emptyLinesAreNotPartOfAnEvent() {
        EventSplitter splitter = new EventSplitter();
        assertEquals(1, splitter.feed(bytes("id: 1\ndata: a\n\n\r\n")).size());
        assertFalse(splitter.hasPartialEvent());
        assertEquals("\r\n", text(splitter.takeRemainder()));
    }

    /** Guards against rescanning a partial event from its start for each fragment, at quadratic cost. */
    @Test
    void partialEventIsScannedOnlyOnce() {
        AtomicLong scannedBytes = new AtomicLong();
        EventSplitter splitter =
                new EventSplitter(new UnpooledHeapByteBuf(UnpooledByteBufAllocator.DEFAULT, 256, Integer.MAX_VALUE) {
                    @Override
                    public byte getByte(int index) {
                        scannedBytes.incrementAndGet();
                        return super.getByte(index);
                    }
                });
        int fragments = 1000;
        for (int index = 0; index < fragments; index++) {
            assertEquals(List.of(), splitter.feed(bytes("data: xxx\n")));
        }
        int total = 10 * fragments;
        assertEquals(total, splitter.pendingBytes());
        assertTrue(scannedBytes.get() <= 3L * total, "scanned bytes: " + scannedBytes.get());
        assertEquals(1, splitter.feed(bytes("\nid: 7\n")).size());
        assertEquals(Optional.of(7L), splitter.feed(bytes("\n")).get(0).id());
    }
}
