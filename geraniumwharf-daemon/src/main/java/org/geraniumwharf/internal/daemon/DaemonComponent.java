package org.geraniumwharf.internal.daemon;

import dagger.Component;
import javax.inject.Singleton;

/** The object graph of one daemon. */
@Singleton
@Component(modules = {DaemonModule.class, ServingModule.class})
public interface DaemonComponent {

  DaemonRuntime runtime();
}
