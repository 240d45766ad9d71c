package org.geraniumwharf.relay;

/** Delay of a request to a target in another data centre. */
final class DistanceTerm implements EstimateTerm {

  private static final double OTHER_DATA_CENTRE_ROUND_TRIP_MILLIS = 2;

  private final String dataCentre;

  /**
   * Creates the term of an instance.
   *
   * @param dataCentre data centre of the instance
   */
  DistanceTerm(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  @Override
  public String name() {
    return "DISTANCE";
  }

  @Override
  public double millis(PlacementQuery query, RelayTarget target, RelayLoadTable.Load load) {
    return target.dataCentre().equals(dataCentre) ? 0 : OTHER_DATA_CENTRE_ROUND_TRIP_MILLIS;
  }
}
