import java.nio.file.Path;

/** Runs one case and ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
final class Play {
    /** A case; returns whether the rule was broken. */
    interface Case {
        boolean broken(Fleet fleet, boolean trouble) throws Exception;
    }

    private Play() {}

    public static void main(String[] arguments) {
        int status = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[1]))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            boolean broken = caseNamed(arguments[0]).broken(fleet, trouble);
            System.out.println(broken ? "broken" : "held");
            status = broken ? 1 : 0;
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(status);
    }

    private static Case caseNamed(String name) {
        switch (name) {
            case "large-job":
                return LargeJob::broken;
            case "other-kind":
                return OtherKind::broken;
            case "removed-route":
                return RemovedRoute::broken;
            case "cancelled-unknown":
                return CancelledUnknown::broken;
            default:
                throw new IllegalArgumentException("no such case: " + name);
        }
    }
}
