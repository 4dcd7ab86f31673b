import java.nio.file.Path;

/** Runs a case: 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
final class CaseRun {

    interface Body {
        boolean breaks(Setting setting) throws Exception;
    }

    private CaseRun() {}

    static void main(String[] arguments, Body body) {
        int code = 2;
        try (Setting setting = new Setting(Path.of(arguments[0]), Path.of(arguments[1]))) {
            Runtime.getRuntime().addShutdownHook(new Thread(setting::close));
            boolean broken = body.breaks(setting);
            setting.record.say("verdict: the rule " + (broken ? "is broken" : "holds"));
            code = broken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
