package walnutfield.desk;

/** Observes everything that passes through a desk, in order: each call, then the results of that call. */
public interface Listener {
    void called(double now, Call call);

    void resulted(double now, Result result);
}
