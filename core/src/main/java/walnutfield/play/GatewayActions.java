package walnutfield.play;

/** Carries out decisions. Each takes effect at the time of the call in which it was made. */
public interface GatewayActions {
    /** Ignores all decisions. */
    GatewayActions NONE = new GatewayActions() {
        @Override
        public void setUpLeg(PlayId play, HostId host, double timeoutMs) {}

        @Override
        public void setRung(PlayId play, int rung) {}

        @Override
        public void movePlay(PlayId play) {}

        @Override
        public void shedPlay(PlayId play, double retryAfterMs) {}

        @Override
        public void failPlay(PlayId play) {}

        @Override
        public void probeHost(HostId host) {}

        @Override
        public void watchHostList() {}

        @Override
        public void setTimer(double time, String timer) {}

        @Override
        public void log(String line) {}
    };

    /** Sets up a leg of the play on the host, which has to answer within the timeout. */
    void setUpLeg(PlayId play, HostId host, double timeoutMs);

    /** Sets the rung at which the play is served. */
    void setRung(PlayId play, int rung);

    /** Moves the play off its host: it is requested again. */
    void movePlay(PlayId play);

    /** Rejects the play; its viewer may try again after the given time. */
    void shedPlay(PlayId play, double retryAfterMs);

    /** Ends the play with an error. */
    void failPlay(PlayId play);

    /** Asks the host for its load. */
    void probeHost(HostId host);

    /** Watches the host list for changes from now on. */
    void watchHostList();

    /** Has the timer fire at the given time. */
    void setTimer(double time, String timer);

    /** Writes a line to the log; the line is recorded and replayed as it is. */
    void log(String line);
}
