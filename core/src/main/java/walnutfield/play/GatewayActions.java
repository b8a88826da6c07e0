package walnutfield.play;

/** Through this the decisions leave. The clock of the call in which they are made holds for them. */
public interface GatewayActions {
    /** Carries nothing out. */
    GatewayActions NONE = new GatewayActions() {
        @Override
        public void setUpLeg(PlayId play, HostId host, double patienceMs) {}

        @Override
        public void setRung(PlayId play, int rung) {}

        @Override
        public void movePlay(PlayId play) {}

        @Override
        public void shedPlay(PlayId play, double holdOffMs) {}

        @Override
        public void failPlay(PlayId play) {}

        @Override
        public void probeHost(HostId host) {}

        @Override
        public void watchHostList() {}

        @Override
        public void setTimer(double time, String mark) {}

        @Override
        public void log(String line) {}
    };

    void setUpLeg(PlayId play, HostId host, double patienceMs);

    void setRung(PlayId play, int rung);

    void movePlay(PlayId play);

    void shedPlay(PlayId play, double holdOffMs);

    void failPlay(PlayId play);

    void probeHost(HostId host);

    /** Asks to be told changes of the list from now on. */
    void watchHostList();

    void setTimer(double time, String mark);

    void log(String line);
}
