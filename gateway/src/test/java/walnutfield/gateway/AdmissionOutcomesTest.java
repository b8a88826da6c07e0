package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AdmissionOutcomesTest {
    @Test
    void allCopiesOfARequestGetTheSameOutcome() {
        Fates outcomes = new Fates();
        assertTrue(outcomes.take("a"));
        assertTrue(outcomes.take("a"), "a copy goes to the transaction of the first");
        assertFalse(outcomes.turnAway("a"), "and is not turned away");
        assertTrue(outcomes.turnAway("b"));
        assertTrue(outcomes.turnAway("b"), "a copy is told the same");
        assertFalse(outcomes.take("b"), "and is not taken");
    }

    @Test
    void theOldestOutcomeIsEvicted() {
        Fates outcomes = new Fates();
        outcomes.turnAway("a");
        for (int i = 0; i < 19_999; i++) {
            outcomes.take("x" + i);
        }
        assertFalse(outcomes.take("a"));
        outcomes.take("y");
        assertTrue(outcomes.take("a"));
    }
}
