package walnutfield.play;

/** Through this the decisions leave. The clock of the call in which they are made holds for them. */
public interface Gateway {
    /** Carries nothing out. */
    Gateway NONE = new Gateway() {
        @Override
        public void setUp(PlayId play, HostId host, double patienceMs) {}

        @Override
        public void setRung(PlayId play, int rung) {}

        @Override
        public void move(PlayId play) {}

        @Override
        public void shed(PlayId play, double holdOffMs) {}

        @Override
        public void error(PlayId play) {}

        @Override
        public void probe(HostId host) {}

        @Override
        public void followList() {}

        @Override
        public void wake(double time, String mark) {}

        @Override
        public void log(String line) {}
    };

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
