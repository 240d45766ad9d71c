package org.geraniumwharf.internal.cli;

import java.util.List;
import org.geraniumwharf.credential.CallerKey;
import org.geraniumwharf.credential.SecretHash;
import org.geraniumwharf.schema.objects.KeyHash;

/** Makes keys. The key itself is printed once and kept nowhere. */
final class KeyCommand implements CliCommand {

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String usage() {
    return "key caller | key hash SECRET";
  }

  @Override
  public String summary() {
    return "make a caller key and its hash, or hash an operators' or targets' key";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    List<String> arguments = context.arguments();
    if (arguments.equals(List.of("caller"))) {
      CallerKey key = CallerKey.create(context.random());
      SecretHash hash = SecretHash.create(key.secret(), context.random());
      context.output().line("key: " + key.token());
      context.output().line("for the organisation's keys:");
      context.output().json(KeyHash.of(key.id(), hash.salt(), hash.hash()));
      return ExitStatus.SUCCESS;
    }
    if (arguments.size() == 2 && arguments.get(0).equals("hash")) {
      context.output().line(SecretHash.create(arguments.get(1), context.random()).toString());
      return ExitStatus.SUCCESS;
    }
    throw CliException.of(ExitStatus.USAGE, "usage: geraniumwharf " + usage());
  }
}
