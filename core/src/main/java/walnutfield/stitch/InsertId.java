package walnutfield.stitch;

/** An insert of the schedule. */
public record InsertId(String value) {}
