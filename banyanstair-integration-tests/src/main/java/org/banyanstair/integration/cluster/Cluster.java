package org.banyanstair.integration.cluster;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.banyanstair.cli.CommandLineTool;
import org.banyanstair.membership.Endpoint;
import org.banyanstair.membership.EndpointKind;
import org.banyanstair.membership.EntryHost;
import org.banyanstair.membership.Presence;
import org.banyanstair.model.DataCentre;
import org.banyanstair.model.EndpointId;
import org.banyanstair.model.HostId;
import org.banyanstair.model.NetworkAddress;
import org.banyanstair.model.PoolId;
import org.banyanstair.server.Main;
import org.banyanstair.testsupport.engine.EngineSettings;
import org.banyanstair.testsupport.engine.EngineStandIn;
import org.banyanstair.testsupport.hosts.HostListStandIn;
import org.banyanstair.testsupport.log.LogServiceStandIn;
import org.banyanstair.testsupport.network.FaultProxy;
import org.banyanstair.testsupport.network.FreePorts;
import org.banyanstair.testsupport.process.JavaCommand;
import org.banyanstair.testsupport.process.ManagedProcess;
import org.banyanstair.testsupport.process.ProcessLauncher;
import org.banyanstair.testsupport.service.PlainServiceSettings;
import org.banyanstair.testsupport.service.PlainServiceStandIn;

/**
 * Runs a cluster on loopback: stand-ins in this process, one daemon process per entry host, and fault proxies between
 * them.
 *
 * <p>Not thread-safe, except for the stand-ins and proxies.
 */
public final class Cluster implements AutoCloseable {
    /** Name of a caller that may use all services of {@link #declarations}. */
    public static final String CALLER = "clerk";

    /** Name of a second caller that may use all services of {@link #declarations}. */
    public static final String OTHER_CALLER = "member";

    /** Name of a caller with a valid key that may use no service. */
    public static final String UNAUTHORIZED_CALLER = "stranger";

    /** Bearer key that the hosts accept from operators. */
    public static final String OPERATOR_KEY = "operator-key-of-the-test";

    private static final List<String> DATA_CENTRES = List.of("ub-east", "ub-west", "darkhan");

    private static final int HEAP_MEGABYTES = 160;

    /** Lowest value that the daemon accepts for log-retention-seconds. */
    private static final int MINIMUM_LOG_RETENTION_SECONDS = 5;

    private static final int START_TIMEOUT_SECONDS = 30;

    private final ClusterPlan plan;
    private final Path directory;
    private final ProcessLauncher launcher;

    private final LogServiceStandIn log;
    private final HostListStandIn hostList;
    private NetworkAddress logAddress;
    private NetworkAddress hostListAddress;
    private final List<ClusterHost> hosts = new ArrayList<>();
    private final List<ClusterEngine> engines = new ArrayList<>();
    private final List<ClusterServiceEndpoint> serviceEndpoints = new ArrayList<>();
    private int hostsStarted;
    private List<String> javaOptions = List.of();

    /**
     * Creates a cluster without starting any stand-in or host.
     *
     * @param directory directory for settings files and the output of the daemons
     */
    public Cluster(ClusterPlan plan, Path directory) {
        this.plan = plan;
        this.directory = directory;
        this.launcher = new ProcessLauncher(directory);
        this.log = new LogServiceStandIn(0, plan.logRetention(), LogServiceStandIn.DEFAULT_APPENDS_PER_SECOND);
        this.hostList = new HostListStandIn(0, plan.hostListLag());
    }

    /** Returns the bearer key of the caller with the given name. */
    public static String key(String caller) {
        return caller + "-key-of-the-test";
    }

    /** Sets the options of the Java virtual machine for hosts started after this call. */
    public void javaOptions(List<String> options) {
        javaOptions = List.copyOf(options);
    }

    /** Starts the stand-ins and the hosts, and waits until all hosts are ready. */
    public void start() {
        startStandIns();
        List<PreparedHost> prepared = new ArrayList<>();
        for (int number = 0; number < plan.hosts(); number++) {
            prepared.add(prepareHost());
        }
        prepared.parallelStream().map(this::launch).toList().forEach(hosts::add);
    }

    /** Starts the log service, the host list and the endpoints, but no host. */
    public void startStandIns() {
        logAddress = log.start();
        hostListAddress = hostList.start();
        plan.pools().forEach(this::startPool);
        for (int number = 0; number < plan.deskEndpoints(); number++) {
            startServiceEndpoint(number);
        }
    }

    private void startPool(ClusterPlan.PoolPlan pool) {
        for (EngineSettings settings : pool.engines()) {
            startEngine(pool.name(), settings);
        }
    }

    /** Starts an engine in a pool and adds it to the host list. */
    public ClusterEngine startEngine(String pool, EngineSettings settings) {
        EngineStandIn engine = new EngineStandIn(settings);
        engine.start();
        FaultProxy proxy = new FaultProxy(0, engine.address());
        Endpoint endpoint = new Endpoint(
                new EndpointId(pool + "-" + (engines.size() + 1)),
                EndpointKind.ENGINE,
                Presence.LIVE,
                dataCentre(engines.size()),
                new PoolId(pool),
                proxy.start(),
                settings.slots(),
                settings.batchLimit(),
                settings.checksFencing());
        ClusterEngine started = new ClusterEngine(endpoint, engine, proxy);
        engines.add(started);
        hostList.put(endpoint);
        return started;
    }

    private void startServiceEndpoint(int number) {
        PlainServiceStandIn service = new PlainServiceStandIn(PlainServiceSettings.DEFAULT);
        service.start();
        FaultProxy proxy = new FaultProxy(0, service.address());
        Endpoint endpoint = new Endpoint(
                new EndpointId("desk-" + (number + 1)),
                EndpointKind.SERVICE,
                Presence.LIVE,
                dataCentre(number),
                new PoolId("order-desk"),
                proxy.start(),
                0,
                100,
                false);
        serviceEndpoints.add(new ClusterServiceEndpoint(endpoint, service, proxy));
        hostList.put(endpoint);
    }

    private static DataCentre dataCentre(int number) {
        return new DataCentre(DATA_CENTRES.get(number % DATA_CENTRES.size()));
    }

    private record PreparedHost(EntryHost entry, Path settings, FaultProxy logProxy, FaultProxy peerProxy) {}

    private PreparedHost prepareHost() {
        hostsStarted++;
        NetworkAddress peer = FreePorts.next();
        FaultProxy logProxy = new FaultProxy(0, logAddress);
        FaultProxy peerProxy = new FaultProxy(0, peer);
        EntryHost entry = new EntryHost(
                new HostId("entry-" + hostsStarted),
                Presence.LIVE,
                dataCentre(hostsStarted - 1),
                peerProxy.start(),
                FreePorts.next(),
                FreePorts.next());
        Path settings = directory.resolve(entry.id() + ".toml");
        write(settings, settingsOf(entry, peer, logProxy.start()));
        hostList.put(entry);
        return new PreparedHost(entry, settings, logProxy, peerProxy);
    }

    private String settingsOf(EntryHost entry, NetworkAddress peer, NetworkAddress logProxyAddress) {
        String callers = List.of(CALLER, OTHER_CALLER, UNAUTHORIZED_CALLER).stream()
                .map(caller -> caller + " = \"" + key(caller) + "\"")
                .collect(Collectors.joining("\n"));
        return String.join(
                "\n",
                "[host]",
                "id = \"" + entry.id() + "\"",
                "data-centre = \"" + entry.dataCentre() + "\"",
                "cluster = \"test\"",
                "[listen]",
                "caller = \"" + entry.callerAddress() + "\"",
                "operator = \"" + entry.operatorAddress() + "\"",
                "peer = \"" + peer + "\"",
                "[platform]",
                "log = \"" + logProxyAddress + "\"",
                "host-list = \"" + hostListAddress + "\"",
                "log-retention-seconds = "
                        + Math.max(
                                MINIMUM_LOG_RETENTION_SECONDS,
                                plan.logRetention().toSeconds()),
                "[callers]",
                callers,
                "[operators]",
                "operator = \"" + OPERATOR_KEY + "\"",
                String.join("\n", plan.settingsLines()),
                "");
    }

    private ClusterHost launch(PreparedHost prepared) {
        ManagedProcess process = launcher.startJava(
                prepared.entry().id().value(),
                new JavaCommand(
                        Main.class.getName(),
                        HEAP_MEGABYTES,
                        javaOptions,
                        List.of("--settings", prepared.settings().toString())),
                Instant.now().plusSeconds(START_TIMEOUT_SECONDS));
        return new ClusterHost(
                prepared.entry(), process, prepared.settings(), prepared.logProxy(), prepared.peerProxy());
    }

    /** Starts a host with a new id and waits until it is ready. */
    public ClusterHost startHost() {
        ClusterHost host = launch(prepareHost());
        hosts.add(host);
        return host;
    }

    /** Kills a host with SIGKILL; the host list shows the loss after its lag. */
    public void kill(ClusterHost host) {
        host.process().kill();
        remove(host);
    }

    /** Removes a stopped host from the cluster and the host list. */
    public void remove(ClusterHost host) {
        hostList.remove(host.id());
        hosts.remove(host);
        host.logProxy().stop();
        host.peerProxy().stop();
    }

    /**
     * Returns the hosts that have been started and neither killed nor removed.
     *
     * @return copy of the list
     */
    public List<ClusterHost> hosts() {
        return List.copyOf(hosts);
    }

    /**
     * Returns the engines.
     *
     * @return copy of the list
     */
    public List<ClusterEngine> engines() {
        return List.copyOf(engines);
    }

    /**
     * Returns the endpoints of the plain service.
     *
     * @return copy of the list
     */
    public List<ClusterServiceEndpoint> serviceEndpoints() {
        return List.copyOf(serviceEndpoints);
    }

    /** Returns the log service. */
    public LogServiceStandIn log() {
        return log;
    }

    /** Returns the host list. */
    public HostListStandIn hostList() {
        return hostList;
    }

    /** Runs the command-line tool against all hosts. */
    public ToolResult runTool(String... arguments) {
        return runTool(hosts, arguments);
    }

    /**
     * Runs the command-line tool against the given hosts.
     *
     * @param targets hosts to try in turn
     */
    public ToolResult runTool(List<ClusterHost> targets, String... arguments) {
        String addresses =
                targets.stream().map(host -> "http://" + host.operator()).collect(Collectors.joining(","));
        Map<String, String> environment =
                Map.of("BANYANSTAIR_OPERATOR", addresses, "BANYANSTAIR_OPERATOR_KEY", OPERATOR_KEY);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        CommandLineTool tool = new CommandLineTool(
                name -> Optional.ofNullable(environment.get(name)), printStream(output), printStream(errors), false);
        int code = tool.run(arguments).value();
        return new ToolResult(code, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
    }

    private static PrintStream printStream(ByteArrayOutputStream stream) {
        return new PrintStream(stream, true, StandardCharsets.UTF_8);
    }

    /** Applies TOML declarations and waits until they are in force on all hosts. */
    public ToolResult apply(String declarations) {
        Path file = directory.resolve("declarations.toml");
        write(file, declarations);
        return runTool("apply", "-f", file.toString());
    }

    /**
     * Returns TOML declarations of the services {@code assistant} and {@code order-desk} and of a number of adapters.
     *
     * @param adapters number of adapters, named {@code adapter-0} and so on, each with versions v1 and v2, default v2
     */
    public static String declarations(int adapters) {
        StringBuilder text = new StringBuilder();
        text.append("[[service]]\nid = \"assistant\"\nkind = \"generation\"\npool = \"assistant\"\n");
        text.append("callers = [\"clerk\", \"member\"]\n");
        text.append("[[service]]\nid = \"order-desk\"\nkind = \"plain\"\npool = \"order-desk\"\n");
        text.append("callers = [\"clerk\", \"member\"]\n");
        text.append("[[service.route]]\nmethod = \"POST\"\npath-prefix = \"/orders\"\nrepeatable = false\n");
        text.append("[[service.route]]\nmethod = \"GET\"\npath-prefix = \"/stock\"\nrepeatable = true\n");
        text.append("[[pool]]\nid = \"assistant\"\nloads-per-second = 20\nloads-in-transit = 8\n");
        for (int adapter = 0; adapter < adapters; adapter++) {
            text.append("[[adapter]]\nservice = \"assistant\"\nid = \"adapter-").append(adapter);
            text.append("\"\nversions = [\"v1\", \"v2\"]\ndefault = \"v2\"\n");
        }
        return text.toString();
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Stops the daemons, the proxies and the stand-ins. */
    @Override
    public void close() {
        launcher.stop();
        hosts.forEach(host -> {
            host.logProxy().stop();
            host.peerProxy().stop();
        });
        engines.forEach(engine -> {
            engine.proxy().stop();
            engine.engine().stop();
        });
        serviceEndpoints.forEach(serviceEndpoint -> {
            serviceEndpoint.proxy().stop();
            serviceEndpoint.service().stop();
        });
        hostList.stop();
        log.stop();
    }
}
