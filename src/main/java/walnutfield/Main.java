package walnutfield;

import walnutfield.bench.Adapter;

/** The program: one subcommand for each way of running the decisions. */
public final class Main {
    private Main() { }

    public static void main(String[] args) throws java.io.IOException {
        if (args.length == 1 && args[0].equals("adapter")) {
            System.exit(Adapter.run(System.in, System.out, System.err));
        }
        System.err.println("usage: walnutfield adapter");
        System.exit(2);
    }
}
