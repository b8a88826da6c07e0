package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FatesTest {
    @Test
    void allCopiesFareAlike() {
        Fates f = new Fates();
        assertTrue(f.take("a"));
        assertTrue(f.take("a"), "a copy goes to the transaction of the first");
        assertFalse(f.turnAway("a"), "and is not turned away");
        assertTrue(f.turnAway("b"));
        assertTrue(f.turnAway("b"), "a copy is told the same");
        assertFalse(f.take("b"), "and is not taken");
    }

    @Test
    void theEldestIsForgotten() {
        Fates f = new Fates();
        f.turnAway("a");
        for (int i = 0; i < 19_999; i++) {
            f.take("x" + i);
        }
        assertFalse(f.take("a"));
        f.take("y");
        assertTrue(f.take("a"));
    }
}
