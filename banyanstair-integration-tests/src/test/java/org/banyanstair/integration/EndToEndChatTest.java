package org.banyanstair.integration;

import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.banyanstair.integration.cluster.Cluster;
import org.banyanstair.integration.cluster.ClusterPlan;
import org.banyanstair.integration.cluster.ToolResult;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.load.CallerHeaders;
import org.banyanstair.testsupport.load.CallerResult;
import org.banyanstair.testsupport.load.ChatCall;
import org.banyanstair.testsupport.load.HttpCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against components that pass their own tests but cannot serve a chat request together. */
class EndToEndChatTest {
    @Test
    void chatIsAnsweredByTheDefaultVersion(@TempDir Path directory) throws Exception {
        try (Cluster cluster = new Cluster(ClusterPlan.of(3, 2, EngineSettings.DEFAULT), directory);
                HttpCaller caller = new HttpCaller(10, Duration.ofSeconds(20), Clock.systemUTC())) {
            cluster.start();
            ToolResult applied = cluster.apply(Cluster.declarations(3));
            assertEquals(0, applied.code(), applied.errors());
            CallerHeaders headers = new CallerHeaders(
                    Cluster.key(Cluster.CALLER),
                    Optional.of(Instant.now().plusSeconds(15)),
                    Optional.empty(),
                    Optional.empty());
            CallerResult result = caller.chat(
                            cluster.hosts().get(0).caller(),
                            new ChatCall(headers, "assistant/adapter-1", "hello", 8, true))
                    .get();
            assertTrue(result instanceof CallerResult.Generated, result.toString());
            assertEquals("assistant/adapter-1@v2", ((CallerResult.Generated) result).model());
        }
    }
}
