package walnutfield.desk;

/** Sees everything that passes a desk, in order: each call, then what it led to. */
public interface Listener {
    void called(double now, Call call);

    void resulted(double now, Result result);
}
