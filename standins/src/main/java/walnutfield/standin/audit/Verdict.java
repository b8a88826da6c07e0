package walnutfield.standin.audit;

import java.util.List;

/**
 * The result of checking one rule.
 *
 * @param rule     the rule's name
 * @param checked  how many items were checked
 * @param breaches one line for each breach
 */
public record Verdict(String rule, long checked, List<String> breaches) {
    public Verdict {
        breaches = List.copyOf(breaches);
    }
}
