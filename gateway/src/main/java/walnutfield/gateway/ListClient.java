package walnutfield.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.hosts.HostEntry;
import walnutfield.hosts.HostList;
import walnutfield.loop.DeskThread;
import walnutfield.net.Client;
import walnutfield.net.Headers;
import walnutfield.net.Request;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;
import walnutfield.sse.Event;
import walnutfield.sse.EventReader;

/**
 * Follows the list of hosts as a stream of numbered events and keeps the last one in a file. A version that is
 * wrong is refused with its reason, and the last good one stays. All on the desk's thread but for the socket.
 */
final class ListClient {
    private static final Logger LOG = LoggerFactory.getLogger(ListClient.class);
    private static final int LIST_BYTES = 1 << 22;

    private final DeskThread thread;
    private final Client client;
    private final Terms.Lists terms;
    private final String via;
    private final Consumer<Call> to;
    private final Map<String, HostEntry> entries = new TreeMap<>(); // emptied as hosts leave the list
    private long number = -1;
    private boolean connected;
    private boolean told; // the module was told that it is lost
    /**
     * Nothing was kept: the first list is told as one that proves nothing of now. Guards against a gateway that starts
     * with no list and takes every host that may be cold for a warm one; it harms by a slow start where all are warm.
     */
    private boolean unproven;

    private final LearntFile learnt;
    private Client.Sent open;
    private final Runnable changed;

    /**
     * @param to      is told what the list says
     * @param changed is run after that
     */
    ListClient(
            DeskThread thread, Client client, Terms.Lists terms, String gateway, Consumer<Call> to, Runnable changed) {
        this.thread = thread;
        this.client = client;
        this.terms = terms;
        this.to = to;
        this.changed = changed;
        learnt = new LearntFile(terms.learnt());
        via = "1.1 " + gateway;
    }

    /** The address of a host; null where the list has none. */
    InetSocketAddress address(HostId host) {
        HostEntry e = entries.get(host.value());
        return e == null ? null : e.address();
    }

    /** Tells the list that was kept; an unreadable file counts as none. */
    void remembered() {
        List<HostDescriptor> lines = List.of();
        if (terms.kept() != null && Files.exists(terms.kept())) {
            try {
                HostList l = HostList.parse(Files.readString(terms.kept()));
                l.hosts().forEach(e -> entries.put(e.line().host().value(), e));
                lines = l.hosts().stream().map(HostEntry::line).toList();
            } catch (IOException | HostList.Malformed e) {
                LOG.atWarn()
                        .addKeyValue("file", terms.kept())
                        .addKeyValue("reason", e.getMessage())
                        .log("kept list not used");
            }
        }
        unproven = lines.isEmpty();
        to.accept(new Call.PersistedHostListLoaded(lines));
        if (!unproven) {
            to.accept(new Call.LearnedStateRestored(learnt.read()));
        }
        connect();
    }

    /** Asks for the stream unless it is open. */
    void connect() {
        if (connected || open != null) {
            return;
        }
        EventReader reader = new EventReader(LIST_BYTES, e -> thread.postFirst(() -> event(e)));
        open = client.send(
                terms.service(), Request.get("/hosts?follow=" + number, Headers.of("Via", via)), new Client.Answer() {
                    @Override
                    public void head(int status, Headers headers) {
                        if (status == 200) {
                            thread.post(() -> connected = true);
                        }
                    }

                    @Override
                    public void body(byte[] piece) {
                        reader.take(piece);
                    }

                    @Override
                    public void done() {
                        thread.post(ListClient.this::lost);
                    }

                    @Override
                    public void failed(Client.Failure how) {
                        thread.post(ListClient.this::lost);
                    }
                });
    }

    private void lost() {
        open = null;
        connected = false;
        if (!told) {
            told = true;
            to.accept(new Call.HostListUnavailable());
        }
        thread.at(thread.now() + terms.retryMs(), this::connect);
    }

    private void event(Event e) {
        if (!e.name().equals("hosts")) {
            return;
        }
        HostList l;
        try {
            l = HostList.parse(e.data());
        } catch (HostList.Malformed bad) {
            LOG.atWarn()
                    .addKeyValue("reason", bad.getMessage())
                    .addKeyValue("kept", number)
                    .log("list refused");
            return;
        }
        if (!l.whole() && l.number() != number + 1) { // a gap: only a whole list can mend it
            LOG.atWarn()
                    .addKeyValue("number", l.number())
                    .addKeyValue("kept", number)
                    .log("list has a gap");
            number = -1;
            if (open != null) {
                open.callOff();
            }
            lost();
            return;
        }
        number = l.number();
        if (told) {
            told = false;
            LOG.atInfo()
                    .addKeyValue("number", number)
                    .addKeyValue("hosts", l.hosts().size())
                    .log("list regained");
        }
        Map<String, HostEntry> before = new TreeMap<>(entries);
        if (l.whole()) {
            entries.clear();
        }
        for (HostEntry h : l.hosts()) {
            if (h.line().state() == HostDescriptor.LifecycleState.GONE) {
                entries.remove(h.line().host().value());
            } else {
                entries.put(h.line().host().value(), h);
            }
        }
        if (!before.equals(entries)) {
            keep();
        }
        List<HostDescriptor> lines = l.hosts().stream().map(HostEntry::line).toList();
        to.accept(
                !l.whole()
                        ? new Call.HostListUpdated(lines)
                        : unproven ? new Call.PersistedHostListLoaded(lines) : new Call.HostListReplaced(lines));
        if (unproven) { // what was learnt speaks of hosts, which only now are known
            to.accept(new Call.LearnedStateRestored(learnt.read()));
        }
        unproven = false;
        changed.run();
    }

    /** Whether something new may still leave for that host by the list's word. */
    boolean isReady(HostId host) {
        HostEntry e = entries.get(host.value());
        return e != null && e.line().state() == HostDescriptor.LifecycleState.READY;
    }

    /** Keeps what was learnt, once what was kept before has been read. */
    void keepLearnt(Supplier<LearnedState> now) {
        if (!unproven) {
            learnt.write(now);
        }
    }

    private void keep() {
        Path kept = terms.kept();
        if (kept == null) {
            return;
        }
        try {
            KeptFile.write(kept, new HostList(true, Math.max(0, number), List.copyOf(entries.values())).text());
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("file", kept)
                    .addKeyValue("reason", e.toString())
                    .log("list not kept");
        }
    }
}
