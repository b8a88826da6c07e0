package walnutfield.play;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which of several hosts that were listed at one address holds it. */
class AddressHoldersTest {
    private static final HostId FIRST = new HostId("s-00000001");
    private static final HostId SECOND = new HostId("s-00000002");
    private final AddressHolders<String> holders = new AddressHolders<>();

    @Test
    void theHostThatStartedLastHoldsTheAddressInEitherOrder() {
        holders.listed(SECOND, "a", 20);
        holders.listed(FIRST, "a", 10);
        assertEquals(SECOND, holders.holder("a"));
        assertTrue(holders.isSuperseded(FIRST));
        holders.listed(FIRST, "a", 30);
        assertEquals(FIRST, holders.holder("a"));
        assertTrue(holders.isSuperseded(SECOND));
    }

    @Test
    void withoutStartsTheHostListedThereLastHoldsTheAddress() {
        holders.listed(FIRST, "a", 0);
        holders.listed(SECOND, "a", 0);
        holders.listed(FIRST, "a", 0);
        assertEquals(SECOND, holders.holder("a"), "an entry that is repeated is no new claim");
    }

    @Test
    void aHostThatLeavesDoesNotGiveTheAddressBack() {
        holders.listed(FIRST, "a", 10);
        holders.listed(SECOND, "a", 20);
        holders.removed(SECOND);
        assertNull(holders.holder("a"));
        assertTrue(holders.isSuperseded(FIRST), "its process has gone");
        holders.removed(FIRST);
        assertFalse(holders.isSuperseded(FIRST), "it is not listed");
    }

    @Test
    void theEndOfTheFormerHostLeavesTheAddressToItsSuccessor() {
        holders.listed(FIRST, "a", 10);
        holders.listed(SECOND, "a", 20);
        holders.removed(FIRST);
        assertEquals(SECOND, holders.holder("a"));
    }

    @Test
    void aHostThatMovedHoldsItsNewAddressOnly() {
        holders.listed(FIRST, "a", 10);
        holders.listed(FIRST, "b", 10);
        assertNull(holders.holder("a"));
        assertEquals(FIRST, holders.holder("b"));
        holders.listed(SECOND, "a", 20);
        assertFalse(holders.isSuperseded(FIRST));
    }
}
