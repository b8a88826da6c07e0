package walnutfield.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.hosts.HostEntry;
import walnutfield.hosts.HostList;
import walnutfield.loop.EventLoop;
import walnutfield.net.Client;
import walnutfield.net.Headers;
import walnutfield.net.Request;
import walnutfield.play.AddressHolders;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;
import walnutfield.sse.Event;
import walnutfield.sse.EventReader;

/**
 * Receives the list of hosts as a stream of numbered events and persists the last one in a file. An invalid version is
 * rejected with the reason and the last valid one stays in force. Confined to the event loop except for the socket.
 */
final class HostListClient {
    private static final Logger LOG = LoggerFactory.getLogger(HostListClient.class);
    private static final int MAX_LIST_BYTES = 1 << 22;

    private final EventLoop eventLoop;
    private final Client httpClient;
    private final GatewaySettings.Lists settings;
    private final String via;
    private final Consumer<Call> desk;
    private final Map<String, HostEntry> entries = new TreeMap<>(); // removed as hosts leave the list
    private long listNumber = -1;
    private boolean connected;
    private boolean lossReported; // the desk was notified that the list is unavailable
    /**
     * True if there was no persisted list, until the first list is received: that list is then reported as a persisted
     * one, which proves nothing about the present. Otherwise a gateway that starts without a list would take hosts that
     * may be in slow start for warm ones. The cost: an unneeded slow start if all hosts are warm.
     */
    private boolean noPersistedList;

    private final LearnedStateFile learnedStateFile;
    private Client.PendingRequest stream;
    private final AddressHolders<InetSocketAddress> addressHolders = new AddressHolders<>();
    private final Runnable onChanged;
    private final Consumer<InetSocketAddress> onHolderChanged;

    /**
     * @param desk            receives the changes of the list
     * @param onChanged       runs after each of them
     * @param onHolderChanged receives each address at which another host listens than before, or the same one after it
     *                        has started again
     */
    HostListClient(
            EventLoop eventLoop,
            Client httpClient,
            GatewaySettings.Lists settings,
            String gateway,
            Consumer<Call> desk,
            Runnable onChanged,
            Consumer<InetSocketAddress> onHolderChanged) {
        this.eventLoop = eventLoop;
        this.httpClient = httpClient;
        this.settings = settings;
        this.desk = desk;
        this.onChanged = onChanged;
        this.onHolderChanged = onHolderChanged;
        learnedStateFile = new LearnedStateFile(settings.learnedStateFile());
        via = "1.1 " + gateway;
    }

    /** Returns the address of a host; null if it is not listed. */
    InetSocketAddress address(HostId host) {
        HostEntry entry = entries.get(host.value());
        return entry == null ? null : entry.address();
    }

    /** Reports the persisted list and learned state to the desk, then connects; an unreadable list counts as none. */
    void loadPersistedList() {
        List<HostDescriptor> descriptors = List.of();
        if (settings.persistedListFile() != null && Files.exists(settings.persistedListFile())) {
            try {
                HostList list = HostList.parse(Files.readString(settings.persistedListFile()));
                descriptors = updateEntries(list);
            } catch (IOException | HostList.Malformed e) {
                LOG.atWarn()
                        .addKeyValue("file", settings.persistedListFile())
                        .addKeyValue("reason", e.getMessage())
                        .log("kept list not used");
            }
        }
        noPersistedList = descriptors.isEmpty();
        desk.accept(new Call.PersistedHostListLoaded(descriptors));
        if (!noPersistedList) {
            desk.accept(new Call.LearnedStateRestored(learnedStateFile.read()));
        }
        connect();
    }

    /** Opens the event stream unless it is open already. */
    void connect() {
        if (connected || stream != null) {
            return;
        }
        EventReader reader = new EventReader(MAX_LIST_BYTES, event -> eventLoop.postUrgent(() -> onEvent(event)));
        stream = httpClient.send(
                settings.service(),
                Request.get("/hosts?follow=" + listNumber, Headers.of("Via", via)),
                new Client.ResponseHandler() {
                    @Override
                    public void onHead(int status, Headers headers) {
                        if (status == 200) {
                            eventLoop.post(() -> connected = true);
                        }
                    }

                    @Override
                    public void onBody(byte[] piece) {
                        reader.feed(piece);
                    }

                    @Override
                    public void onComplete() {
                        eventLoop.post(HostListClient.this::onStreamLost);
                    }

                    @Override
                    public void onFailure(Client.Failure failure) {
                        eventLoop.post(HostListClient.this::onStreamLost);
                    }
                });
    }

    private void onStreamLost() {
        stream = null;
        connected = false;
        if (!lossReported) {
            lossReported = true;
            desk.accept(new Call.HostListUnavailable());
        }
        eventLoop.schedule(eventLoop.now() + settings.retryDelayMs(), this::connect);
    }

    private void onEvent(Event event) {
        if (!event.type().equals("hosts")) {
            return;
        }
        HostList list;
        try {
            list = HostList.parse(event.data());
        } catch (HostList.Malformed invalid) {
            LOG.atWarn()
                    .addKeyValue("reason", invalid.getMessage())
                    .addKeyValue("kept", listNumber)
                    .log("list refused");
            return;
        }
        if (!list.complete()
                && list.version() != listNumber + 1) { // changes were missed: only a full list can repair that
            LOG.atWarn()
                    .addKeyValue("number", list.version())
                    .addKeyValue("kept", listNumber)
                    .log("list has a gap");
            listNumber = -1;
            if (stream != null) {
                stream.cancel();
            }
            onStreamLost();
            return;
        }
        listNumber = list.version();
        if (lossReported) {
            lossReported = false;
            LOG.atInfo()
                    .addKeyValue("number", listNumber)
                    .addKeyValue("hosts", list.hosts().size())
                    .log("list regained");
        }
        Map<String, HostEntry> previousEntries = new TreeMap<>(entries);
        List<HostDescriptor> descriptors = updateEntries(list);
        if (!previousEntries.equals(entries)) {
            persistList();
        }
        entries.values().stream()
                .filter(entry -> holderChanged(entry, previousEntries))
                .forEach(entry -> onHolderChanged.accept(entry.address()));
        desk.accept(
                !list.complete()
                        ? new Call.HostListUpdated(descriptors)
                        : noPersistedList
                                ? new Call.PersistedHostListLoaded(descriptors)
                                : new Call.HostListReplaced(descriptors));
        if (noPersistedList) { // the learned state refers to hosts that are known only now
            desk.accept(new Call.LearnedStateRestored(learnedStateFile.read()));
        }
        noPersistedList = false;
        onChanged.run();
    }

    /**
     * Applies a list to the entries. A host whose address another one has taken is gone, though the list may still name
     * it.
     *
     * @return the changed entries as the desk is to see them
     */
    private List<HostDescriptor> updateEntries(HostList list) {
        Map<HostId, HostDescriptor> changed = new LinkedHashMap<>();
        if (list.complete()) {
            Set<HostId> listedHosts = list.hosts().stream()
                    .map(entry -> entry.descriptor().host())
                    .collect(Collectors.toSet());
            List.copyOf(entries.values()).stream()
                    .map(entry -> entry.descriptor().host())
                    .filter(host -> !listedHosts.contains(host))
                    .forEach(this::removeEntry);
        }
        for (HostEntry entry : list.hosts()) {
            HostDescriptor descriptor = entry.descriptor();
            changed.put(descriptor.host(), descriptor);
            if (descriptor.state() == HostDescriptor.LifecycleState.GONE) {
                removeEntry(descriptor.host());
            } else {
                entries.put(descriptor.host().value(), entry);
                addressHolders.listed(descriptor.host(), entry.address(), descriptor.startedAt());
            }
        }
        for (HostEntry entry : List.copyOf(entries.values())) {
            if (addressHolders.isSuperseded(entry.descriptor().host())) {
                entries.remove(entry.descriptor().host().value());
                changed.put(entry.descriptor().host(), entry.descriptor().gone());
            }
        }
        return List.copyOf(changed.values());
    }

    private void removeEntry(HostId host) {
        entries.remove(host.value());
        addressHolders.removed(host);
    }

    private static boolean holderChanged(HostEntry entry, Map<String, HostEntry> previousEntries) {
        HostEntry previous = previousEntries.get(entry.descriptor().host().value());
        return previous == null
                || !previous.address().equals(entry.address())
                || previous.descriptor().startedAt() != entry.descriptor().startedAt();
    }

    /** Returns the entry of the host that holds the address; null if there is none. */
    HostDescriptor holder(InetSocketAddress address) {
        HostId holder = addressHolders.holder(address);
        HostEntry entry = holder == null ? null : entries.get(holder.value());
        return entry == null ? null : entry.descriptor();
    }

    /** Returns whether the host is listed as ready for new plays. */
    boolean isReady(HostId host) {
        HostEntry entry = entries.get(host.value());
        return entry != null && entry.descriptor().state() == HostDescriptor.LifecycleState.READY;
    }

    /** Saves the learned state, but not before the previously saved state has been read. */
    void saveLearnedState(Supplier<LearnedState> currentState) {
        if (!noPersistedList) {
            learnedStateFile.write(currentState);
        }
    }

    private void persistList() {
        Path file = settings.persistedListFile();
        if (file == null) {
            return;
        }
        try {
            AtomicFile.write(file, new HostList(true, Math.max(0, listNumber), List.copyOf(entries.values())).text());
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("file", file)
                    .addKeyValue("reason", e.toString())
                    .log("list not kept");
        }
    }
}
