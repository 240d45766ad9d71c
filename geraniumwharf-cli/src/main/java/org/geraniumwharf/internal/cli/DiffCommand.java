package org.geraniumwharf.internal.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumwharf.configuration.ConfigurationDifference;
import org.geraniumwharf.configuration.ObjectSetReader;
import org.geraniumwharf.schema.objects.PublishedObject;
import org.geraniumwharf.schema.operators.ConfigurationAnswer;
import org.geraniumwharf.schema.state.ObjectReference;

/** Compares a folder of objects with the published set. */
final class DiffCommand implements CliCommand {

  @Override
  public String name() {
    return "diff";
  }

  @Override
  public String usage() {
    return "diff DIR";
  }

  @Override
  public String summary() {
    return "compare the objects below a folder with the published set";
  }

  @Override
  public ExitStatus run(CommandContext context) throws CliException {
    Output output = context.output();
    ObjectSetReader reader = ObjectFolder.readSound(context.onlyArgument("DIR"), output);
    ConfigurationAnswer published =
        context.client().get("/v1/configuration", ConfigurationAnswer.class);
    ConfigurationDifference difference =
        ConfigurationDifference.between(published.objects(), reader.objects());
    if (output.isJson()) {
      output.json(difference);
    } else {
      print(published, difference, output);
    }
    return difference.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.DIFFERENT;
  }

  private static void print(
      ConfigurationAnswer published, ConfigurationDifference difference, Output output) {
    output.line("against version " + published.version());
    Set<ObjectReference> known =
        published.objects().stream()
            .map(ConfigurationDifference::referenceTo)
            .collect(Collectors.toSet());
    List<List<String>> rows = new ArrayList<>();
    for (PublishedObject object : difference.upserts()) {
      ObjectReference reference = ConfigurationDifference.referenceTo(object);
      rows.add(row(known.contains(reference) ? "changed" : "added", reference));
    }
    difference.removals().forEach(reference -> rows.add(row("removed", reference)));
    output.table(List.of("CHANGE", "KIND", "NAME"), rows);
  }

  private static List<String> row(String change, ObjectReference reference) {
    return List.of(change, reference.kind(), reference.name());
  }
}
