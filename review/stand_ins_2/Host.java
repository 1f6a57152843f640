import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A host of the system: one process, started with the command of the deploy file. */
final class Host {
    private static final Random RANDOM = new Random();

    private static final Set<Integer> GIVEN = new HashSet<>();

    private final Path repository;
    private final Path folder;
    private final String name;
    private final String zone;
    private final String storeAddress;
    private final String extraSettings;
    private final int[] ports = freePorts(6);
    private Process process;
    private int starts;

    Host(Path repository, Path folder, String name, String zone, String storeAddress, String extraSettings)
            throws IOException {
        this.repository = repository;
        this.folder = folder;
        this.name = name;
        this.zone = zone;
        this.storeAddress = storeAddress;
        this.extraSettings = extraSettings;
    }

    String name() {
        return name;
    }

    int callerPort() {
        return ports[0];
    }

    int readyPort() {
        return ports[1];
    }

    Path log() {
        return folder.resolve(name + ".log");
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    void start() throws IOException {
        Path settings = folder.resolve(name + ".conf");
        Files.writeString(settings, settings());
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.directory(repository.toFile());
        builder.environment().put("BANYANSTAIR_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.redirectInput(new File("/dev/null"));
        process = builder.start();
        starts++;
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the command of the only role of the deploy file. */
    private List<String> command() throws IOException {
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        return List.of(run.group(1).split(" "));
    }

    private String settings() {
        return String.join(
                        "\n",
                        "node_name=" + name,
                        "role=entry",
                        "machine_class=frontend",
                        "serves=frontend,directory",
                        "ip=127.0.0.1",
                        "zone=" + zone,
                        "region=mn-central",
                        "zones.ub-east=mn-central",
                        "zones.ub-west=mn-central",
                        "zones.darkhan=mn-central",
                        "listen.frontend=127.0.0.1:" + ports[0],
                        "listen.ready=127.0.0.1:" + ports[1],
                        "listen.directory=127.0.0.1:" + ports[2],
                        "internal_ports=" + ports[3] + "," + ports[4],
                        "seeds=",
                        "bootstrap=" + (starts == 0),
                        "limits.cpu_share=0.75",
                        "limits.cores=1",
                        "limits.memory_mb=430",
                        "limits.max_fds=4100",
                        "limits.link_mbps=1000.0",
                        "limits.disk_mb=0",
                        "discovery=platform",
                        "entry=directory",
                        "heartbeat_ms=1200",
                        "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform",
                        "bounds.seed_lag_s=3",
                        "bounds.reuse_after_s=2",
                        "bounds.contact_ms=3000",
                        "bounds.ack_ms=4000",
                        "bounds.sync_s=4",
                        "bounds.drain_ms=2000",
                        "bounds.grace_s=8",
                        "bounds.loss_slack_ms=200",
                        "bounds.config_apply_ms=2000",
                        "bounds.rollback_slack_ms=250",
                        "bounds.max_stretch_ms=5000",
                        "bounds.budget_ratio=0.2",
                        "bounds.budget_window_s=10",
                        "bounds.budget_slack=58",
                        "bounds.recover_s=12",
                        "bounds.pass_ms=120",
                        "bounds.require_fence=false",
                        "bounds.lease_ms=3000",
                        "bounds.thaw_ms=300",
                        "bounds.version_ms=5000",
                        "bounds.ttl_max_s=5",
                        "provider.address=" + storeAddress,
                        "provider.form=log",
                        "provider.writes_per_s=400",
                        "provider.reads_per_s=2000")
                + "\n" + extraSettings;
    }

    /** Waits until the host answers that it is ready. */
    void awaitReady(long deadline) throws IOException, InterruptedException {
        while (System.currentTimeMillis() < deadline) {
            try {
                if (Client.get(readyPort(), "/v1/ready") == 200) {
                    return;
                }
            } catch (IOException exception) {
                // It does not listen yet.
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " is not ready");
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    /** Returns free ports below those that the system gives to outgoing channels. */
    static synchronized int[] freePorts(int count) throws IOException {
        int[] found = new int[count];
        for (int index = 0; index < count; index++) {
            while (found[index] == 0) {
                int port = 15_000 + RANDOM.nextInt(15_000);
                if (GIVEN.add(port) && isFree(port)) {
                    found[index] = port;
                }
            }
        }
        return found;
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", port));
            return true;
        } catch (IOException exception) {
            return false;
        }
    }
}
