package org.geraniumwharf.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumwharf.schema.state.TargetRecord;
import org.geraniumwharf.schema.targets.Announcement;
import org.geraniumwharf.schema.targets.TargetKind;
import org.junit.jupiter.api.Test;

class FleetSnapshotTest {

  private static final Instant NOW = Instant.ofEpochSecond(1000);

  // Guards against a recorded port out of range that ends the thread that calls the target.
  @Test
  void should_leave_out_a_target_whose_address_cannot_be_called() {
    FleetSnapshot view =
        FleetFixtures.holder(
                List.of(),
                List.of(
                    service("odd-port", "http://10.0.0.1:99999"),
                    service("odd-host", "http://"),
                    service("named", "http://engine_1.example:80"),
                    service("numeric", "http://10.0.0.1:80")),
                NOW)
            .current();

    List<String> ids = view.services("plain").stream().map(target -> target.id()).sorted().toList();

    assertEquals(List.of("named", "numeric"), ids);
  }

  private static TargetRecord service(String id, String address) {
    Announcement announcement =
        Announcement.of(
            id,
            1,
            1,
            address,
            "dc-1",
            TargetKind.SERVICE,
            Optional.of("plain"),
            Optional.empty(),
            List.of(),
            Optional.empty(),
            Optional.empty(),
            false,
            Optional.empty(),
            1,
            0);
    return TargetRecord.of(announcement, false, Optional.empty());
  }
}
