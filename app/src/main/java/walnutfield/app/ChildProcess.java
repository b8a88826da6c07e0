package walnutfield.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A command of this program that runs in a process of its own until it is closed. */
final class ChildProcess implements AutoCloseable {
    private final Process process;
    final InetSocketAddress address;
    private final BufferedReader out;

    /**
     * Starts a command and waits for the line in which it prints its address.
     *
     * @param jvmOptions options of the Java virtual machine
     * @param args       the command and its arguments
     */
    ChildProcess(List<String> jvmOptions, String... args) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        command.addAll(List.of(args));
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = out.readLine();
        if (line == null || !line.startsWith("listening on ")) {
            process.destroyForcibly();
            throw new IOException("the child process did not start; the first line of its output is " + line);
        }
        address = parseAddress(line);
    }

    private static InetSocketAddress parseAddress(String line) {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
    }

    /** Reads the next line of its output, which has the address for SIP calls. */
    InetSocketAddress readSipAddress() throws IOException {
        return parseAddress(out.readLine());
    }

    /** Heap in use after a full collection, in kB, as jcmd prints it. */
    long heapKb() throws IOException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        runJcmd(jcmd, "GC.run");
        Matcher matcher = Pattern.compile("used ([0-9]+)K").matcher(runJcmd(jcmd, "GC.heap_info"));
        long sumKb = 0;
        while (matcher.find()) {
            sumKb += Long.parseLong(matcher.group(1));
        }
        return sumKb;
    }

    /** The output of a jcmd command, without the part on the metaspace. */
    private String runJcmd(Path jcmd, String jcmdCommand) throws IOException {
        Process jcmdProcess = new ProcessBuilder(jcmd.toString(), Long.toString(process.pid()), jcmdCommand)
                .redirectErrorStream(true)
                .start();
        String output = new String(jcmdProcess.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int metaspaceStart = output.indexOf("Metaspace");
        return metaspaceStart < 0 ? output : output.substring(0, metaspaceStart);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
