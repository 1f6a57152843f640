package org.banyanstair.server.daemon;

import java.time.Clock;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.banyanstair.external.http.EngineClientTimeouts;
import org.banyanstair.external.http.HttpEngineClient;
import org.banyanstair.external.http.HttpHostListSource;
import org.banyanstair.external.http.HttpLogService;
import org.banyanstair.external.http.HttpPlainServiceClient;
import org.banyanstair.model.CallerId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.HostIdentity;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.reducer.ReducerSettings;
import org.banyanstair.server.http.BearerKey;
import org.banyanstair.server.http.HttpListenerOptions;
import org.banyanstair.server.http.caller.CallerHttpServer;
import org.banyanstair.server.http.caller.CallerKeys;
import org.banyanstair.server.http.caller.DeadlinePolicy;
import org.banyanstair.server.http.metrics.BurnRateRecorder;
import org.banyanstair.server.http.metrics.RequestRecorder;
import org.banyanstair.server.http.operator.OperatorHttpServer;
import org.banyanstair.server.http.operator.OperatorKeys;
import org.banyanstair.server.settings.DaemonSettings;
import org.banyanstair.transport.NettyPeerTransport;
import org.banyanstair.transport.PeerListener;
import org.banyanstair.transport.PeerTransportSettings;

/** Creates the components of the daemon from its settings. */
final class ComponentFactory {
    private final DaemonSettings settings;
    private final HostIdentity identity;
    private final Clock clock;

    ComponentFactory(DaemonSettings settings, HostIdentity identity, Clock clock) {
        this.settings = settings;
        this.identity = identity;
        this.clock = clock;
    }

    private Duration callTimeout() {
        return Duration.ofMillis(settings.platform().callTimeoutMilliseconds());
    }

    HttpLogService log() {
        return new HttpLogService(settings.platform().log(), callTimeout());
    }

    HttpHostListSource hostList() {
        return new HttpHostListSource(settings.platform().hostList(), callTimeout());
    }

    HttpEngineClient engines() {
        EngineClientTimeouts defaults = EngineClientTimeouts.DEFAULT;
        return new HttpEngineClient(new EngineClientTimeouts(
                defaults.connect(),
                defaults.command(),
                defaults.status(),
                Duration.ofMillis(settings.limits().tokenSilenceLimitMilliseconds())));
    }

    HttpPlainServiceClient services() {
        return new HttpPlainServiceClient(
                EngineClientTimeouts.DEFAULT.connect(), settings.limits().maximumBodyBytes());
    }

    ReducerSettings reducerSettings() {
        ReducerSettings defaults = ReducerSettings.DEFAULT;
        return new ReducerSettings(
                Duration.ofMillis(settings.timing().callBatchMilliseconds()),
                defaults.keyRetention(),
                defaults.attemptRetention(),
                defaults.retryInterval(),
                defaults.answerGracePeriod(),
                defaults.maximumDispatches(),
                defaults.changeTimeout(),
                defaults.ownerTimeout(),
                Duration.ofMillis(settings.timing().statusPollMilliseconds()),
                defaults.statusLag(),
                defaults.hostListLag(),
                Duration.ofSeconds(settings.platform().logRetentionSeconds()),
                settings.placement());
    }

    NettyPeerTransport peers(Function<HostId, Optional<NetworkAddress>> addresses, PeerListener listener) {
        Duration heartbeat = Duration.ofMillis(settings.timing().heartbeatMilliseconds());
        Duration heartbeatTimeout = Duration.ofMillis(settings.timing().heartbeatLimitMilliseconds());
        PeerTransportSettings transport = new PeerTransportSettings(
                identity,
                settings.host().cluster(),
                settings.listen().peer(),
                heartbeat,
                heartbeatTimeout,
                heartbeat,
                PeerTransportSettings.DEFAULT_MAXIMUM_FRAME_BYTES);
        return new NettyPeerTransport(transport, addresses, listener, clock);
    }

    private HttpListenerOptions listenerOptions(NetworkAddress address) {
        HttpListenerOptions defaults = HttpListenerOptions.withDefaults(address.ip(), address.port());
        return new HttpListenerOptions(
                defaults.ip(),
                defaults.port(),
                defaults.eventLoopThreads(),
                settings.limits().maximumBodyBytes(),
                defaults.streamBufferBytes(),
                defaults.requestTimeout(),
                defaults.idleTimeout());
    }

    CallerHttpServer callerServer(HostService service, RequestRecorder recorder) {
        Map<CallerId, List<BearerKey>> keys = new LinkedHashMap<>();
        settings.callers().forEach((caller, key) -> keys.put(caller, List.of(key)));
        return new CallerHttpServer(
                identity,
                listenerOptions(settings.listen().caller()),
                new CallerKeys(keys),
                service,
                recorder,
                new DeadlinePolicy(
                        clock,
                        Duration.ofMillis(settings.limits().defaultDeadlineMilliseconds()),
                        Duration.ofMillis(settings.limits().maximumDeadlineMilliseconds())));
    }

    OperatorHttpServer operatorServer(HostService service, BurnRateRecorder burn, MetricRegistry registry) {
        Map<String, List<BearerKey>> keys = new LinkedHashMap<>();
        settings.operators().forEach((operator, key) -> keys.put(operator, List.of(key)));
        return new OperatorHttpServer(
                listenerOptions(settings.listen().operator()),
                new OperatorKeys(keys),
                service,
                service::notReadyReason,
                burn::snapshot,
                registry);
    }
}
