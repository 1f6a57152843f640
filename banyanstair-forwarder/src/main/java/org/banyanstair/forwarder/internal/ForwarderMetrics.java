package org.banyanstair.forwarder.internal;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.LockFreeExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.banyanstair.allotments.TeamUse;
import org.banyanstair.external.Topic;
import org.banyanstair.forwarding.AdmissionStatus;
import org.banyanstair.forwarding.EndpointCondition;
import org.banyanstair.forwarding.ForwardingStatus;
import org.banyanstair.metrics.LabelledMetricName;
import org.banyanstair.metrics.PrometheusText;
import org.banyanstair.teams.KnowledgeSource;
import org.banyanstair.teams.TeamName;

/** Metrics of the forwarding daemon. Latencies are in seconds. Not thread-safe. */
public final class ForwarderMetrics {
    private static final String PREFIX = "banyanstair_";

    /** Teams that have metrics, so that their number is bounded however often the configuration changes. */
    private static final int MAXIMUM_TEAMS = 64;

    private final Set<TeamName> teams = new HashSet<>();
    private final MetricRegistry registry = new MetricRegistry();
    private final PrometheusText text = new PrometheusText(registry);
    private Optional<Supplier<ForwardingStatus>> status = Optional.empty();
    private ForwardingStatus snapshot;
    private final Set<TeamName> registeredTeams = new HashSet<>();
    private final Timer queueTime = timer("queue_seconds");
    private final Timer firstOutput = timer("first_output_seconds");
    private final Timer outputGap = timer("output_gap_seconds");

    private Timer timer(String name, String... labels) {
        return registry.timer(
                LabelledMetricName.of(PREFIX + name, labels),
                () -> new Timer(LockFreeExponentiallyDecayingReservoir.builder().build()));
    }

    /** Counts a decision by its kind. */
    public void countDecision(String kind) {
        registry.counter(LabelledMetricName.of(PREFIX + "decisions_total", "kind", kind))
                .inc();
    }

    /** Counts an invalid response of an endpoint by its fault. */
    public void countRejectedResponse(ResponseFault fault) {
        registry.counter(LabelledMetricName.of(PREFIX + "rejected_answers_total", "fault", fault.label()))
                .inc();
    }

    /** Records how long a request waited before its first attempt. */
    public void recordQueueTime(Duration waited) {
        record(queueTime, waited);
    }

    /** Records the time from the arrival of a request to its first output. */
    public void recordFirstOutput(Duration waited) {
        record(firstOutput, waited);
    }

    /** Records the time between two successive outputs of a stream. */
    public void recordOutputGap(Duration gap) {
        record(outputGap, gap);
    }

    /**
     * Measures a call to the platform's log service.
     *
     * @param operation label of the call; reads include the time in which they wait for records
     * @param callback receives the response, empty on failure or time-out
     * @return the callback to pass to the call
     */
    public <T> Consumer<Optional<T>> timeLogCall(
            String operation, InstantSource clock, Consumer<Optional<T>> callback) {
        return timeCall("log_call_seconds", operation, clock, callback);
    }

    /**
     * Measures a command or state request to a runner.
     *
     * @param operation label of the call
     * @param callback receives the response, empty on failure or time-out
     * @return the callback to pass to the call
     */
    public <T> Consumer<Optional<T>> timeRunnerCall(
            String operation, InstantSource clock, Consumer<Optional<T>> callback) {
        return timeCall("runner_call_seconds", operation, clock, callback);
    }

    private <T> Consumer<Optional<T>> timeCall(
            String name, String operation, InstantSource clock, Consumer<Optional<T>> callback) {
        Instant startedAt = clock.instant();
        return response -> {
            String answered = Boolean.toString(response.isPresent());
            record(
                    timer(name, "operation", operation, "answered", answered),
                    Duration.between(startedAt, clock.instant()));
            callback.accept(response);
        };
    }

    private static void record(Timer timer, Duration time) {
        timer.update(time.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Registers the gauges of the reducer's status. */
    public void registerStatusGauges(Supplier<ForwardingStatus> status) {
        this.status = Optional.of(status);
        registerGauge("open_requests", () -> snapshot.openRequests());
        registerGauge("waiting_requests", () -> snapshot.waitingRequests());
        registerGauge("configuration_version", () -> snapshot.configurationVersion());
        registerGauge("commanded_runners", () -> snapshot.commandedRunners());
        registerGauge("live_peers", () -> snapshot.livePeers());
        registerGauge("refused_requests", () -> snapshot.refusedRequests());
        registerGauge("refused_prompt_parts", () -> snapshot.refusedParts());
        registerGauge("limited_endpoints", () -> snapshot.limitedEndpoints());
        registerGauge("full_services", () -> snapshot.admission().fullServices());
        registerGauge("log_era", () -> snapshot.logEra().newest());
        registerGauge("log_restores_total", () -> snapshot.logEra().changes());
        registerGauge("read_delay_seconds", () -> snapshot.readDelay().toMillis() / 1000.0);
        registerGauge("keys_accepted", () -> snapshot.keys().accepted() ? 1 : 0);
        registerGauge(
                "key_knowledge_age_seconds",
                () -> snapshot.keys().age().map(age -> age.toMillis() / 1000.0).orElse(-1.0));
        for (KnowledgeSource source : KnowledgeSource.values()) {
            registerGauge(
                    LabelledMetricName.of("key_knowledge_source", "source", lowerCase(source)),
                    () -> snapshot.keys().source().filter(source::equals).isPresent() ? 1 : 0);
        }
        for (EndpointCondition condition : EndpointCondition.values()) {
            registerGauge(
                    LabelledMetricName.of("endpoints", "condition", lowerCase(condition)),
                    () -> snapshot.endpoints().getOrDefault(condition, 0L));
        }
        for (Topic topic : Topic.values()) {
            String name = lowerCase(topic);
            registerGauge(
                    LabelledMetricName.of("topic_available", "topic", name),
                    () -> snapshot.topics().get(topic).available() ? 1 : 0);
            registerGauge(
                    LabelledMetricName.of("topic_age_seconds", "topic", name),
                    () -> snapshot.topics().get(topic).age().toMillis() / 1000.0);
            registerGauge(
                    LabelledMetricName.of("topic_end", "topic", name),
                    () -> snapshot.topics().get(topic).end());
        }
    }

    /** Registers the gauges of teams that have sent their first request. */
    private void registerTeamGauges() {
        for (TeamName team : snapshot.admission().teams().keySet()) {
            if (registeredTeams.add(team)) {
                String label = teamLabel(team);
                registerTeamGauge("team_requests", team, label, AdmissionStatus.TeamStatus::requests);
                registerTeamGauge("team_refused_by_share", team, label, AdmissionStatus.TeamStatus::refusedByShare);
                registerTeamGauge(
                        "team_refused_overloaded", team, label, AdmissionStatus.TeamStatus::refusedOverloaded);
                registerTeamGauge(
                        "team_waiting_seconds_total",
                        team,
                        label,
                        status -> status.waited().toMillis() / 1000.0);
            }
        }
    }

    private void registerTeamGauge(
            String name, TeamName team, String label, Function<AdmissionStatus.TeamStatus, Number> value) {
        String labelled = LabelledMetricName.of(name, "team", label);
        if (!registry.getNames().contains(PREFIX + labelled)) {
            registerGauge(
                    labelled, () -> value.apply(snapshot.admission().teams().get(team)));
        }
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Registers a gauge.
     *
     * @param name its name without the prefix of the product
     */
    public void registerGauge(String name, Gauge<Number> value) {
        registry.register(PREFIX + name, value);
    }

    /**
     * Renders the current values in the Prometheus text format.
     *
     * @return the text in UTF-8
     */
    public byte[] render() {
        status.ifPresent(supplier -> {
            snapshot = supplier.get();
            snapshot.teams().forEach(use -> registerTeam(use.team()));
            registerTeamGauges();
            snapshot.sentByDataCentre()
                    .keySet()
                    .forEach(dataCentre -> registry.gauge(
                            LabelledMetricName.of(PREFIX + "sent_requests", "data_centre", dataCentre),
                            () -> () -> snapshot.sentByDataCentre().getOrDefault(dataCentre, 0L)));
            snapshot.leavingShares()
                    .keySet()
                    .forEach(service -> registry.gauge(
                            LabelledMetricName.of(PREFIX + "leaving_share", "service", service),
                            () -> () -> snapshot.leavingShares().getOrDefault(service, 0.0)));
        });
        return text.write();
    }

    /** Returns the value of a label, whose encoding reserves some characters. */
    private static String teamLabel(TeamName team) {
        return team.value().replace('|', '_').replace('=', '_');
    }

    private void registerTeam(TeamName team) {
        if (teams.size() >= MAXIMUM_TEAMS || !teams.add(team)) {
            return;
        }
        String label = teamLabel(team);
        registerTeamGauge("team_requests_total", label, team, TeamUse::requestedRequests);
        registerTeamGauge("team_admitted_total", label, team, TeamUse::admittedRequests);
        registerTeamGauge("team_refused_total", label, team, TeamUse::refusedRequests);
        registerTeamGauge("team_used_units_total", label, team, TeamUse::used);
        registerTeamGauge("team_share", label, team, TeamUse::share);
        registerTeamGauge("team_units_left", label, team, TeamUse::level);
        registerTeamGauge(
                "team_allotment_per_second", label, team, use -> use.allotment().perSecond());
    }

    private void registerTeamGauge(String name, String label, TeamName team, Function<TeamUse, Number> value) {
        registry.gauge(
                PREFIX + LabelledMetricName.of(name, "team", label),
                () -> (Gauge<Number>) () -> snapshot.teams().stream()
                        .filter(use -> use.team().equals(team))
                        .findFirst()
                        .map(value)
                        .orElse(0));
    }
}
