package walnutfield.bench;

import java.io.IOException;
import java.util.List;
import walnutfield.desk.Listener;
import walnutfield.play.ColdTerms;
import walnutfield.play.Ladder;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.MoveTerms;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.Share;
import walnutfield.play.ShedTerms;

/** Gives each instance's desk a listener, told how the desk is made, and is told when the instance is over. */
public interface Ears {
    /** Nobody listens. */
    Ears NONE = (instance, post, ladder, links, legs, cold, sheds, reports, moves, shares) -> null;

    /** The listener of an instance that starts; null for none. */
    Listener of(
            int instance,
            Post post,
            Ladder ladder,
            LinkTerms links,
            LegTerms legs,
            ColdTerms cold,
            ShedTerms sheds,
            ReportTerms reports,
            MoveTerms moves,
            List<Share> shares)
            throws IOException;
}
