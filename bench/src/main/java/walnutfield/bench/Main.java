package walnutfield.bench;

import java.io.IOException;

/** The adapter as a small program of its own, which is all that the bench builds and starts. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        System.exit(Adapter.run(System.in, System.out, System.err));
    }
}
