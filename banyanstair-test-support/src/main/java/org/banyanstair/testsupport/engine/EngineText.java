package org.banyanstair.testsupport.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Generates the deterministic text of an engine from the adapter, the prompt and the token limit.
 *
 * <p>A text has exactly as many tokens as its limit. Each token is a word and a space.
 */
public final class EngineText {
    /** Token limit of a request that sets none. */
    public static final int DEFAULT_MAX_TOKENS = 16;

    /** Maximum token limit that a request may set. */
    public static final int MAX_TOKENS_LIMIT = 4_096;

    /** Length of the prompt prefix that the prefix hash covers. */
    public static final int PREFIX_LENGTH_CHARACTERS = 256;

    private static final String[] SYLLABLES = {
        "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za"
    };

    private final long seed;
    private final int maxTokens;

    /**
     * Creates the text of one request.
     *
     * @param adapterName engine name of the adapter
     * @param prompt prompt in the form of {@link #prompt}
     * @param maxTokens token limit
     */
    public EngineText(String adapterName, String prompt, int maxTokens) {
        this.seed = hash(adapterName + "\n" + prompt + "\n" + maxTokens);
        this.maxTokens = maxTokens;
    }

    /**
     * Returns all tokens of the text of one request, in order.
     *
     * @param adapterName engine name of the adapter
     * @param prompt prompt in the form of {@link #prompt}
     * @param maxTokens token limit
     */
    public static List<String> tokens(String adapterName, String prompt, int maxTokens) {
        EngineText text = new EngineText(adapterName, prompt, maxTokens);
        return IntStream.range(0, maxTokens).mapToObj(text::token).toList();
    }

    /**
     * Returns the prompt of a request body.
     *
     * @param body body of a chat or text completion
     * @return the field {@code prompt}, or each message as {@code role: content} on a line of its own
     */
    public static String prompt(JsonNode body) {
        if (!body.has("messages")) {
            return body.path("prompt").asText();
        }
        StringBuilder prompt = new StringBuilder();
        body.path("messages")
                .forEach(message -> prompt.append(message.path("role").asText())
                        .append(": ")
                        .append(message.path("content").asText())
                        .append('\n'));
        return prompt.toString();
    }

    /**
     * Returns the key of a prompt in the prefix cache.
     *
     * @param adapterName engine name of the adapter
     * @param prompt prompt in the form of {@link #prompt}
     * @return first 8 bytes of SHA-256 over the name, a line feed and the first characters of the prompt
     */
    public static long prefixHash(String adapterName, String prompt) {
        return hash(adapterName + "\n" + prompt.substring(0, Math.min(prompt.length(), PREFIX_LENGTH_CHARACTERS)));
    }

    /**
     * Returns the digest of a prompt as {@link EngineRun} records it.
     *
     * @param prompt prompt in the form of {@link #prompt}
     * @return SHA-256 in hexadecimal
     */
    public static String digest(String prompt) {
        return HexFormat.of().formatHex(sha256(prompt));
    }

    String token(int index) {
        int word = new SplittableRandom(seed + index).nextInt(1 << 12);
        return SYLLABLES[word & 15] + SYLLABLES[word >> 4 & 15] + SYLLABLES[word >> 8] + " ";
    }

    /**
     * Counts the tokens in a prefix of this text.
     *
     * @param text prefix of this text
     * @return number of tokens, -1 if this text does not start with the prefix or the prefix ends within a token
     */
    int countTokens(String text) {
        int position = 0;
        int index = 0;
        while (position < text.length() && index < maxTokens) {
            String token = token(index);
            if (!text.startsWith(token, position)) {
                return -1;
            }
            position += token.length();
            index++;
        }
        return position == text.length() ? index : -1;
    }

    private static long hash(String text) {
        return ByteBuffer.wrap(sha256(text)).getLong();
    }

    private static byte[] sha256(String text) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
