package org.geraniumwharf.configuration;

import java.util.List;
import org.geraniumwharf.internal.configuration.ReferenceRules;
import org.geraniumwharf.schema.objects.PublishedObject;

/** Checks the rules that hold between the objects of a set. */
public final class ConfigurationChecker {

  private ConfigurationChecker() {}

  /** Returns every fault between the objects of a set; empty if it may be published. */
  public static List<ConfigurationFault> check(List<SourcedObject> set) {
    return ReferenceRules.check(set);
  }

  /** Same as {@link #check}, for objects that were not read from files. */
  public static List<ConfigurationFault> checkObjects(List<PublishedObject> objects) {
    return check(objects.stream().map(object -> SourcedObject.of("", object)).toList());
  }
}
