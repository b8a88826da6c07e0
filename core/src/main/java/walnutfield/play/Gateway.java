package walnutfield.play;

/** Through this the decisions leave. The clock of the call in which they are made holds for them. */
public interface Gateway {
    void setUp(PlayId play, HostId host, double patienceMs);

    void setRung(PlayId play, int rung);

    void move(PlayId play);

    void shed(PlayId play, double holdOffMs);

    void error(PlayId play);

    void probe(HostId host);

    /** Asks to be told changes of the list from now on. */
    void followList();

    void wake(double time, String mark);

    void log(String line);
}
