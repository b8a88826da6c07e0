package walnutfield.stitch;

/** Identifies an insert of the schedule. */
public record InsertId(String value) {}
