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

/** Another process of this program, until it is closed. */
final class ChildProcess implements AutoCloseable {
    private final Process process;
    final InetSocketAddress at;
    private final BufferedReader out;

    ChildProcess(List<String> options, String... args) throws IOException {
        List<String> command = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        command.addAll(List.of(args));
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        String line = out.readLine();
        if (line == null || !line.startsWith("listening on ")) {
            process.destroyForcibly();
            throw new IOException("the process did not start: " + line);
        }
        at = address(line);
    }

    private static InetSocketAddress address(String line) {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(line.substring(line.lastIndexOf(':') + 1)));
    }

    /** Where it takes calls, which it tells next. */
    InetSocketAddress calls() throws IOException {
        return address(out.readLine());
    }

    /** Heap in use after a full collection, by the JDK's own tool. */
    long heapKb() throws IOException {
        Path jcmd = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        tool(jcmd, "GC.run");
        Matcher m = Pattern.compile("used ([0-9]+)K").matcher(tool(jcmd, "GC.heap_info"));
        long sum = 0;
        while (m.find()) {
            sum += Long.parseLong(m.group(1));
        }
        return sum;
    }

    private String tool(Path jcmd, String what) throws IOException {
        Process p = new ProcessBuilder(jcmd.toString(), Long.toString(process.pid()), what)
                .redirectErrorStream(true)
                .start();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        int heap = said.indexOf("Metaspace");
        return heap < 0 ? said : said.substring(0, heap);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
