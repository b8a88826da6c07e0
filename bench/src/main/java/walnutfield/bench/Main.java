package walnutfield.bench;

import java.io.IOException;

/** Runs the adapter as a separate small program, which is all that the bench builds and starts. */
public final class Main {
    private Main() {}

    public static void main(String[] args) throws IOException {
        System.exit(Adapter.run(System.in, System.out, System.err));
    }
}
