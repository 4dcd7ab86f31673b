package org.pollensill.admission;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonGenerator;
import org.pollensill.json.JsonObject;

/**
 * What the leader foresees for jobs that come now. It is stored in the leader row with each commit, from which the
 * coordinators that accept jobs have their copies.
 *
 * @param memoryFull whether the leader can hold no further jobs
 * @param services the forecasts by service
 */
public record LoadForecast(boolean memoryFull, Map<String, ServiceForecast> services) {

    /**
     * Creates a forecast.
     *
     * @throws NullPointerException if {@code services} is null
     */
    public LoadForecast {
        services = Map.copyOf(Objects.requireNonNull(services, "services is null"));
    }

    /**
     * Writes the members of the stored form.
     *
     * @param json the generator, inside an object
     * @throws IOException if the generator fails
     */
    public void write(JsonGenerator json) throws IOException {
        json.writeBooleanField("memoryFull", memoryFull);
        json.writeObjectFieldStart("services");
        for (Map.Entry<String, ServiceForecast> service : services.entrySet()) {
            json.writeObjectFieldStart(service.getKey());
            json.writeArrayFieldStart("room");
            for (long millicores : service.getValue().roomMillicores()) {
                json.writeNumber(millicores);
            }
            json.writeEndArray();
            json.writeObjectFieldStart("work");
            for (Map.Entry<Integer, QueuedWork> work : service.getValue().work().entrySet()) {
                json.writeArrayFieldStart(work.getKey().toString());
                json.writeNumber(work.getValue().inTimeMillicoreMs());
                json.writeNumber(work.getValue().lateMillicoreMs());
                json.writeNumber(work.getValue().arrivingMillicores());
                json.writeEndArray();
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        json.writeEndObject();
    }

    /**
     * Reads the stored form. A service whose forecast cannot be read is left out; its jobs are accepted.
     *
     * @param stored the stored form
     * @return the forecast
     */
    public static LoadForecast read(JsonObject stored) {
        Map<String, ServiceForecast> services = new LinkedHashMap<>();
        JsonObject storedServices = stored.object("services").orElse(new JsonObject(Map.of()));
        for (String name : storedServices.members().keySet()) {
            storedServices.object(name).ifPresent(service -> {
                List<Long> room = numbers(service.list("room"));
                if (room.size() == ServiceForecast.SIZE_BOUNDS_MILLICORES.size()) {
                    services.put(name, new ServiceForecast(room, readWork(service)));
                }
            });
        }
        return new LoadForecast(stored.isTrue("memoryFull"), services);
    }

    private static Map<Integer, QueuedWork> readWork(JsonObject service) {
        Map<Integer, QueuedWork> work = new LinkedHashMap<>();
        JsonObject stored = service.object("work").orElse(new JsonObject(Map.of()));
        for (String priority : stored.members().keySet()) {
            List<Long> amounts = numbers(stored.list(priority));
            boolean valid = priority.matches("[0-9]{1,9}")
                    && amounts.size() == 3
                    && amounts.stream().allMatch(amount -> amount >= 0);
            if (valid) {
                work.put(Integer.valueOf(priority), new QueuedWork(amounts.get(0), amounts.get(1), amounts.get(2)));
            }
        }
        return work;
    }

    private static List<Long> numbers(List<?> items) {
        List<Long> numbers = new ArrayList<>();
        for (Object item : items) {
            if (item instanceof Long number) {
                numbers.add(number);
            }
        }
        return numbers;
    }
}
