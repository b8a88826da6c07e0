package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class AdmissionOutcomesTest {
    @Test
    void allCopiesOfARequestGetTheSameOutcome() {
        AdmissionOutcomes outcomes = new AdmissionOutcomes();
        assertTrue(outcomes.admit("a"));
        assertTrue(outcomes.admit("a"), "a copy goes to the transaction of the first");
        assertFalse(outcomes.reject("a"), "and is not turned away");
        assertTrue(outcomes.reject("b"));
        assertTrue(outcomes.reject("b"), "a copy is told the same");
        assertFalse(outcomes.admit("b"), "and is not taken");
    }

    @Test
    void theOldestOutcomeIsEvicted() {
        AdmissionOutcomes outcomes = new AdmissionOutcomes();
        outcomes.reject("a");
        for (int i = 0; i < 19_999; i++) {
            outcomes.admit("x" + i);
        }
        assertFalse(outcomes.admit("a"));
        outcomes.admit("y");
        assertTrue(outcomes.admit("a"));
    }
}
