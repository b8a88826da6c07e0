package walnutfield.standin.audit;

import java.util.List;

/**
 * What one rule came to.
 *
 * @param checked how many things were held against it
 * @param broken  one line for each breach
 */
public record Verdict(String rule, long checked, List<String> broken) {
    public Verdict {
        broken = List.copyOf(broken);
    }
}
