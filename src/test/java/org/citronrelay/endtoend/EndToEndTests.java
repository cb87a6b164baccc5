package org.citronrelay.endtoend;

import io.cucumber.junit.platform.engine.Constants;
import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectPackages;
import org.junit.platform.suite.api.Suite;

/**
 * Runs the feature files of this package with Cucumber.
 */
@Suite
@IncludeEngines("cucumber")
@SelectPackages("org.citronrelay.endtoend")
@ConfigurationParameter(key = Constants.GLUE_PROPERTY_NAME, value = "org.citronrelay.endtoend")
class EndToEndTests {

}
