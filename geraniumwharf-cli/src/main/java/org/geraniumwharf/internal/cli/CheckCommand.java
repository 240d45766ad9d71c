package org.geraniumwharf.internal.cli;

import java.util.List;
import org.geraniumwharf.configuration.ConfigurationFault;
import org.geraniumwharf.configuration.ObjectSetReader;

/** Checks a folder of objects without any daemon. */
final class CheckCommand implements CliCommand {

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String usage() {
    return "check DIR";
  }

  @Override
  public String summary() {
    return "check the objects below a folder, offline";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    ObjectSetReader reader = ObjectFolder.read(context.onlyArgument("DIR"));
    List<ConfigurationFault> faults = reader.faults();
    if (faults.isEmpty()) {
      context.output().line(reader.objects().size() + " objects, no faults");
      return ExitStatus.SUCCESS;
    }
    ObjectFolder.printFaults(faults, context.output());
    return ExitStatus.INVALID_CONFIGURATION;
  }
}
