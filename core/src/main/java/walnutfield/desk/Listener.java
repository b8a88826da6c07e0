package walnutfield.desk;

/** Observes everything that passes through a desk, in order: each call, then the results of that call. */
public interface Listener {
    void onCall(double now, Call call);

    void onResult(double now, Result result);
}
