package review;

/** The case could not run as intended. */
final class CaseFailed extends RuntimeException {
    private static final long serialVersionUID = 1;

    CaseFailed(String why) {
        super(why);
    }
}
