package io.foxtaildoor.process.cli;

import io.foxtaildoor.common.Digest;
import io.foxtaildoor.common.MemberId;
import io.foxtaildoor.process.node.OperatorBootstrap;
import io.foxtaildoor.process.settings.Settings;
import io.foxtaildoor.version.approval.Operator;
import io.foxtaildoor.version.approval.OperatorResult;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/**
 * The {@code operator create} subcommand: creates an operator record on the platform. For
 * administrators with direct access to the platform.
 */
final class OperatorCreateCommand implements Command {
  private static final int MIN_TOKEN_CHARS = 12;

  @Option(
      name = "--settings",
      metaVar = "FILE",
      required = true,
      usage = "settings file of any node, for its platform endpoints")
  private String settingsFile;

  @Option(
      name = "--member",
      metaVar = "MEMBER",
      required = true,
      usage = "member that the operator acts for")
  private String member;

  @Option(name = "--name", metaVar = "NAME", required = true, usage = "name of the operator")
  private String name;

  @Option(
      name = "--token-file",
      metaVar = "FILE",
      required = true,
      usage = "file with the operator's token; only its hash is stored on the platform")
  private String tokenFile;

  @Override
  public int run(PrintStream out, PrintStream err) {
    Operator operator = new Operator(name, new MemberId(member));
    byte[] file = OperatorCommand.readFile(tokenFile);
    String token = new String(file, StandardCharsets.UTF_8).strip();
    if (token.length() < MIN_TOKEN_CHARS) {
      err.println("foxtaildoor: a token needs at least " + MIN_TOKEN_CHARS + " characters");
      return Main.EXIT_USAGE;
    }
    Optional<Settings> settings = SettingsFiles.read(settingsFile, err);
    if (settings.isEmpty()) {
      return Main.EXIT_USAGE;
    }
    OperatorResult<Operator> result =
        OperatorBootstrap.createOperator(
            settings.get(), operator, Digest.of(token.getBytes(StandardCharsets.UTF_8)));
    return report(result, out, err);
  }

  private static int report(OperatorResult<Operator> result, PrintStream out, PrintStream err) {
    if (result instanceof OperatorResult.Done<Operator> done) {
      out.println(
          "operator " + done.value().name() + " of member " + done.value().member() + " created");
      return Main.EXIT_SUCCESS;
    }
    if (result instanceof OperatorResult.Failed<Operator> failed) {
      err.println("foxtaildoor: " + failed.message());
    }
    return result.errorKind().exitCode();
  }
}
