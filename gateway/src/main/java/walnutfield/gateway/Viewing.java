package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import walnutfield.loop.EventLoop;
import walnutfield.loop.TimerGroup;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

/**
 * State of one viewing: a viewer's request for a title and the plays that serve it one after another. Subclasses
 * implement what differs between fronts. All methods run on the event loop.
 */
abstract class Viewing {
    /** State of a viewing. */
    enum Phase {
        REQUESTED,
        PLAYING,
        ENDED
    }

    /**
     * What the viewer requested.
     *
     * @param highestRung highest rung that the viewer can use
     */
    record Request(ViewerId viewer, TitleId title, TrafficClass trafficClass, TenantId tenant, int highestRung) {}

    /** Identifies a viewing: a viewer's repeated request for the same title over the same front joins the open one. */
    record Key(String front, ViewerId viewer, TitleId title) {}

    /** The part of the title that is still to be played, as the play request describes it. */
    record Remainder(double lengthMs, int firstCell, int holderCount) {}

    /** A leg that was sent and has no result yet. */
    interface Leg {
        void cancel();

        /** Cancels the leg if it was not sent yet; returns false if it was. */
        boolean cancelIfUnsent();

        boolean wasSent();
    }

    /**
     * Result of a leg.
     *
     * @param reason for the log; empty if the outcome is SERVED
     * @param apply  applies what was served to the viewing; returns false if it cannot be used
     */
    record LegResult(Outcome outcome, LoadReport load, String reason, BooleanSupplier apply) {
        static LegResult failed(Outcome outcome, String reason) {
            return new LegResult(outcome, LoadReport.NONE, reason, () -> false);
        }
    }

    final Request request;
    final double admittedAt;
    final List<Requester> requesters = new ArrayList<>(); // cleared when answered; removed as viewers disconnect
    Phase phase = Phase.REQUESTED;
    PlayId firstPlay; // identifies the viewing to the desk
    PlayId play; // the current play
    String sessionId; // session id of the current play at its host
    int legCount;
    int targetRung; // as decided by the desk
    int confirmedRung; // as last confirmed by the host
    HostId host;
    InetSocketAddress address;
    double legSentAt;
    double startedAt;
    boolean legPending;
    Leg leg;
    int recoveries;
    boolean answered; // its viewers were told that the play has started
    EventLoop.Timer legTimeout; // null while no leg is pending
    final TimerGroup timers; // cancelled as it ends

    Viewing(Request request, double admittedAt, EventLoop eventLoop) {
        this.request = request;
        this.admittedAt = admittedAt;
        timers = new TimerGroup(eventLoop);
    }

    /** Marks it as ended and cancels its timers, which would keep it in memory until they are due. */
    final void end() {
        phase = Phase.ENDED;
        timers.cancel();
        cancelLegTimeout();
    }

    final void cancelLegTimeout() {
        if (legTimeout != null) {
            legTimeout.cancel();
            legTimeout = null;
        }
    }

    /** Returns the key that repeated requests join it by; not used for plays that the gateway itself requested. */
    abstract Key key();

    /** Returns whether the gateway itself requested it, as a part of another viewing. */
    boolean isGatewayInitiated() {
        return false;
    }

    /** Returns what is still to be played. */
    abstract Remainder remainder();

    /** Sends a leg to the host's address; its result is reported once, on any thread. */
    abstract Leg sendLeg(int legNumber, Consumer<LegResult> listener);

    /** Starts to monitor the session that plays on its host. */
    abstract void startMonitoring();

    /** Returns whether it monitors a session. */
    abstract boolean isMonitoring();

    /**
     * Stops monitoring the session.
     *
     * @param notifyHost whether to tell the host that the session is over
     */
    abstract void stopMonitoring(boolean notifyHost);

    /** Called when a host has started to serve it, before the desk is notified. */
    abstract void onStarted(boolean resumed, double elapsedMs);

    /** Asks its host to continue at the rung that the desk has decided; the result is reported to {@link Plays}. */
    abstract void changeRung();

    /** Answers one requester that the play has started. */
    abstract void answer(Requester requester);

    /** Called when no host accepts it. Returns true if there is no requester to answer and nothing else to do. */
    boolean onRefused() {
        return false;
    }

    /** Called when it ends with an error; status and retry-after delay as for {@link Requester#refuse}. */
    abstract void onFailed(int status, double retryAfterMs);

    /** Called when its host is lost or the play moves: nothing more is received from that host. */
    void onInterrupted() {}

    /** Returns whether it continues as a new play. */
    abstract boolean canRecover(boolean moved);

    /** Called when it does not continue as a new play, after the desk was notified. */
    abstract void onNotRecovered();

    /** Called when its host reports that the viewer has received everything or has left. */
    abstract void onHostEnded(boolean complete);

    /** Called when the viewing has ended, after its access log line. */
    void onClosed() {}
}
