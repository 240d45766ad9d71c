package org.geraniumwharf.internal.schema.codec;

import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/** Random values of generated types, determined by a seed. */
final class RandomRecords {

  private static final int MAX_DEPTH = 8;
  private static final String[] TEXTS = {
    "",
    "a",
    "geraniumwharf",
    "x".repeat(31),
    "y".repeat(32),
    "Zürich ✓ 𝄞",
    "z".repeat(300),
    "q".repeat(70_000)
  };
  private static final long[] NUMBERS = {
    0, 1, -1, -32, -33, 127, 128, 255, 256, 32_767, 65_535, 65_536, -129, -40_000, Integer.MAX_VALUE
  };
  private static final long[] LONG_NUMBERS = {
    4_294_967_295L, 4_294_967_296L, Long.MAX_VALUE, Long.MIN_VALUE
  };

  private final SplittableRandom random;

  RandomRecords(long seed) {
    this.random = new SplittableRandom(seed);
  }

  Object next(Class<?> type) throws ReflectiveOperationException {
    return next(type, 0);
  }

  private Object next(Type type, int depth) throws ReflectiveOperationException {
    if (type instanceof ParameterizedType generic) {
      return container(generic, depth);
    }
    Class<?> plain = (Class<?>) type;
    if (plain.isSealed()) {
      Class<?>[] members = plain.getPermittedSubclasses();
      return next(members[random.nextInt(members.length)], depth);
    }
    if (plain.isRecord()) {
      return record(plain, depth);
    }
    if (plain.isEnum()) {
      Object[] constants = plain.getEnumConstants();
      return constants[random.nextInt(constants.length)];
    }
    return scalar(plain);
  }

  private Object record(Class<?> type, int depth) throws ReflectiveOperationException {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types = new Class<?>[components.length];
    Object[] values = new Object[components.length];
    for (int i = 0; i < components.length; i++) {
      types[i] = components[i].getType();
      values[i] = next(components[i].getGenericType(), depth + 1);
    }
    return type.getDeclaredConstructor(types).newInstance(values);
  }

  private Object container(ParameterizedType type, int depth) throws ReflectiveOperationException {
    boolean isEmpty = depth > MAX_DEPTH || random.nextInt(4) == 0;
    Type[] arguments = type.getActualTypeArguments();
    if (type.getRawType() == Optional.class) {
      return isEmpty ? Optional.empty() : Optional.of(next(arguments[0], depth + 1));
    }
    int size = isEmpty ? 0 : random.nextInt(10) == 0 ? 17 : 1 + random.nextInt(2);
    if (type.getRawType() == List.class) {
      List<Object> list = new ArrayList<>();
      for (int i = 0; i < size; i++) {
        list.add(next(arguments[0], depth + 1));
      }
      return list;
    }
    Map<String, Object> map = new HashMap<>();
    for (int i = 0; i < size; i++) {
      map.put("key-" + random.nextInt(100), next(arguments[1], depth + 1));
    }
    return map;
  }

  private Object scalar(Class<?> type) {
    if (type == String.class) {
      return TEXTS[random.nextInt(random.nextInt(50) == 0 ? TEXTS.length : TEXTS.length - 2)];
    }
    if (type == byte[].class) {
      byte[] bytes = new byte[random.nextInt(40) == 0 ? 70_000 : random.nextInt(300)];
      random.nextBytes(bytes);
      return bytes;
    }
    if (type == boolean.class || type == Boolean.class) {
      return random.nextBoolean();
    }
    if (type == double.class || type == Double.class) {
      return random.nextInt(3) == 0 ? 2.0 : random.nextDouble() * 1e6;
    }
    long number = NUMBERS[random.nextInt(NUMBERS.length)];
    if (type == int.class || type == Integer.class) {
      return (int) number;
    }
    return random.nextInt(4) == 0 ? LONG_NUMBERS[random.nextInt(LONG_NUMBERS.length)] : number;
  }
}
